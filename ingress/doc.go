// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package ingress takes callers' requests over plain HTTP and passes each to one
// endpoint of the service that its route names. The way of a request reads top to
// bottom in serve.go: admit, wait for a place, send, answer. What it decides with
// stands in the pure packages route, quota, attempt and sched.
package ingress
