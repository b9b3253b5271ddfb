// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package ingress accepts callers' requests over plain HTTP and sends each to one endpoint of the service that its route names.
// serve.go shows the steps of a request in order: admission, wait for a slot, send, response. The decisions are made by the
// packages route, quota, attempt and sched, which do no I/O.
package ingress
