// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package once holds the state machines that make a request run at most once
// and every "not run" true.
//
// A request's ID names the incarnation of the host that owns it; only that
// incarnation may dispatch it. An ID of a call that may not be repeated also
// names a witness incarnation in another availability zone. The owner records
// the ID at the witness before it dispatches; a caller that lost the owner asks
// the witness, which either knows of the record or closes the ID for ever.
//
//	caller --Accept--> Owner --Record--> Witness
//	                   Owner <---Ack---- Witness
//	                   Owner --Dispatch--> endpoint
//	caller --------------Close--------> Witness
//
// The machines do no I/O, read no clock and are not safe for concurrent use.
// They are held to the Promela model in spec/once.pml by a property test.
package once
