// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package endpoint speaks to model engines and plain services. Each kind stands
// behind one small interface; http.go holds the whole wire format of engines.
// What an engine streams is checked piece by piece before anybody sees it.
package endpoint
