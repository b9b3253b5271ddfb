// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package problem holds the typed errors that heathkeel shows to callers and
// operators: a kind, what became of the request, and the remedy.
package problem
