// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// deflaters are reused: a new one allocates more than a heartbeat's worth.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}}

// The first byte of a datagram tells what follows.
const (
	kindBeat   = 'b' // deflated JSON of a Beat
	kindMember = 'm' // the same, to be passed on by the receiver
	kindDigest = 'd' // deflated JSON of a Digest
	kindUpdate = 'u' // JSON of an Update, too short to be worth deflating
	kindAsks   = 'a' // JSON of Asks
	kindGrants = 'g' // JSON of Grants
)

// member is a heartbeat to a relay, which is to pass on its words.
type member struct{ Heartbeat }

// encode writes a *Beat, *member, *Digest, *Update, *Asks or *Grants.
func encode(msg any) ([]byte, error) {
	switch msg := msg.(type) {
	case *Heartbeat:
		return deflate(kindBeat, msg)
	case *member:
		return deflate(kindMember, &msg.Heartbeat)
	case *Digest:
		return deflate(kindDigest, msg)
	case *Update:
		return plain(kindUpdate, msg)
	case *SlotRequests:
		return plain(kindAsks, msg)
	case *Grants:
		return plain(kindGrants, msg)
	}
	return nil, errKind
}

// plain writes JSON.
func plain(kind byte, msg any) ([]byte, error) {
	b, err := json.Marshal(msg)
	return append([]byte{kind}, b...), err
}

// deflate writes deflated JSON: bytes between zones are paid for.
func deflate(kind byte, msg any) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(kind)
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if err := json.NewEncoder(w).Encode(msg); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// largestPlain bounds a datagram before it was deflated.
const largestPlain = 1 << 20

// errKind means that a datagram is of no known kind.
var errKind = eris.New("datagram is of no known kind; its sender may run another version")

// decode reads a datagram: a *Beat, *member, *Digest, *Update, *Asks or *Grants.
func decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, errKind
	}
	switch kind, data := data[0], data[1:]; kind {
	case kindBeat:
		var b Heartbeat
		return &b, inflate(data, &b)
	case kindMember:
		var m member
		return &m, inflate(data, &m.Heartbeat)
	case kindDigest:
		var d Digest
		return &d, inflate(data, &d)
	case kindUpdate:
		var u Update
		return &u, json.Unmarshal(data, &u)
	case kindAsks:
		var m SlotRequests
		return &m, json.Unmarshal(data, &m)
	case kindGrants:
		var m Grants
		return &m, json.Unmarshal(data, &m)
	}
	return nil, errKind
}

// inflate reads deflated JSON.
func inflate(data []byte, msg any) error {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	return json.NewDecoder(io.LimitReader(r, largestPlain)).Decode(msg)
}
