// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package outcome defines the events that hosts log about requests that did not succeed,
// or about all requests. It reads the events of several hosts, describes what happened
// to one request, and sums up what requests lost.
package outcome
