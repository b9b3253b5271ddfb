// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import "fmt"

// invalidAnswer returns an answer whose head is not one of HTTP, as the fault says.
func (e *Endpoint) invalidAnswer(id string, f Fault) string {
	body := e.earlyBody(id)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	switch f {
	case ZeroStatus:
		return e.responseHead(id, f, "000 Trouble") + length
	case BlankName:
		return e.responseHead(id, f, "200 OK") + "X Note: a\r\n" + length
	case BlankLength:
		return e.responseHead(id, f, "200 OK") + fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(body), body)
	default:
		return e.responseHead(id, f, "200 OK") + fmt.Sprintf("Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
}
