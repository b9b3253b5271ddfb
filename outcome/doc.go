// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package outcome holds what hosts log of requests that did not go well, and puts the
// lines of several hosts together to the story of one request.
package outcome
