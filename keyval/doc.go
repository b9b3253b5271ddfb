// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package keyval defines the interfaces to the services of the users' platform (a
// key-value service, a list of hosts and endpoints that lags behind, a weight store)
// and a client for them that uses HTTP with JSON. The wire format is confined to one
// file, so that it can change without changes to the code that makes decisions.
package keyval
