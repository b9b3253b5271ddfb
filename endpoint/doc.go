// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package endpoint connects to model engines and plain services. Each kind has one small
// interface; http.go holds the whole wire format of engines. Each piece of an engine's
// stream is checked before it is passed on.
package endpoint
