// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package respcheck

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// minStatus is the smallest status code. Codes beyond 599 are unknown, but well-formed, and are forwarded.
const minStatus = 100

// protoMajor is the major version of the protocol that requests are sent in.
const protoMajor = 1

// Head returns an error if the head of a response is not one of HTTP/1, or switches to another protocol, which no request asks for. net/http
// takes a name with a blank as it comes, and does not know the body's framing by it: "Content-Length : 5" is no length to it.
func Head(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != protoMajor:
		return eris.Errorf("version of the protocol is %q", resp.Proto)
	case resp.StatusCode < minStatus:
		return eris.Errorf("status is %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return eris.New("protocol is switched without having been asked to")
	}
	for name := range resp.Header {
		if !isToken(name) {
			return eris.Errorf("name of a field is %q", name)
		}
	}
	return nil
}

// tokenMarks are the characters of a token besides letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a token, as names of fields are (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, isNoTokenChar) < 0
}

// isNoTokenChar reports whether a token cannot contain r.
func isNoTokenChar(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune(tokenMarks, r)
}
