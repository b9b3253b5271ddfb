// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// Transport calls handlers by host name, without sockets. It buffers whole answers,
// so that it suits calls with short answers, in tests with simulated time.
type Transport map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	h := t[r.URL.Host]
	if h == nil {
		return nil, errors.New("fake: no such host")
	}
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("fake: connection broken")
		}
	}()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}
