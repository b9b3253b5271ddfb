// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package once implements the state machines of at-most-once dispatch: a
// request is dispatched at most once, and a request that was reported "not run"
// is never dispatched.
//
// A request's ID names the incarnation of the host that owns it; only that
// incarnation may dispatch it. The ID of a call that may not be repeated also
// names the incarnation of a witness in another availability zone. The owner
// records the ID at the witness before it dispatches the request. A caller that
// cannot reach the owner asks the witness, which either reports the record or
// closes the ID permanently.
//
//	caller --Accept--> Owner --Record--> Witness
//	                   Owner <---Ack---- Witness
//	                   Owner --Dispatch--> endpoint
//	caller --------------Close--------> Witness
//
// The state machines do no I/O, read no clock and are not safe for concurrent
// use. A property test checks them against the Promela model in spec/once.pml.
package once
