// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package router joins the pure packages to the network: it is one host of
// heathkeel. It answers callers that ask for an address, takes requests and
// plain calls, carries the exchange between owner and witness, and tells what
// it does.
//
// serve.go has the routes; admit.go brings a request from its arrival to the
// right to dispatch; completions.go and calls.go do the two kinds of dispatch.
package router
