// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package respcheck

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// minStatus is the smallest status code. Codes beyond 599 are unknown, but well-formed, and are forwarded.
const minStatus = 100

// protoMajor is the major version of the protocol that requests are sent in.
const protoMajor = 1

// Head returns an error if the head of a response is not one of HTTP/1, or switches to another protocol, which no request asks for.
func Head(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != protoMajor:
		return eris.Errorf("version of the protocol is %q", resp.Proto)
	case resp.StatusCode < minStatus:
		return eris.Errorf("status is %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return eris.New("protocol is switched without having been asked to")
	}
	return nil
}
