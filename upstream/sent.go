// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"hash/maphash"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrSentBefore means that a request was not sent, because a response on this connection could belong to an earlier request.
var ErrSentBefore = eris.New("a request with this ID was sent on the connection before")

// maxRequests is the number of requests after which a connection is closed. The IDs of as many take as much memory as its read buffer.
const maxRequests = readBufferBytes / 8

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// sentIDs holds hashes of the IDs of all requests that were sent on a connection. Two IDs with the same hash cost a new connection.
type sentIDs []uint64

// add adds the ID of a request.
func (s *sentIDs) add(id string) { *s = append(*s, maphash.String(idSeed, id)) }

// allow reports whether a request may be sent after those that were added. A second copy of the response to an earlier request may still
// come, so that an ID may be used once; a request without an ID must be the first, since any response without one would fit.
func (s sentIDs) allow(id string) bool {
	if id == "" {
		return len(s) == 0
	}
	return !slices.Contains(s, maphash.String(idSeed, id))
}

// full reports whether no further request may be sent.
func (s sentIDs) full() bool { return len(s) >= maxRequests }
