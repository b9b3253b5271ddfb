// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package router implements one host of heathkeel: it connects the packages that
// do no I/O to the network. A host answers address queries of callers, accepts
// requests to engines and calls to plain services, exchanges messages between
// owners and witnesses, and reports its state and its decisions.
//
// serve.go has the HTTP routes. admit.go handles a request from its arrival to
// the scheduler's decision, dispatch.go dispatches it, and completions.go and
// calls.go serve the two kinds of requests.
package router
