// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package problem defines the typed errors that heathkeel returns to callers and
// operators. Each has a kind, the outcome of the request, and a remedy.
package problem
