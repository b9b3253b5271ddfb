// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// deflaters reuses writers: a new one allocates more memory than a heartbeat needs.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}}

// Kinds of datagrams; the first byte of a datagram is its kind.
const (
	kindHeartbeat    = 'b' // deflated JSON of a Heartbeat
	kindMember       = 'm' // the same, to be passed on by the receiver
	kindDigest       = 'd' // deflated JSON of a Digest
	kindMemberDigest = 'f' // the member's echo in 4 bytes, then the same
	kindUpdate       = 'u' // JSON of an Update, too short for deflating to pay
	kindSlotRequests = 'a' // JSON of SlotRequests
	kindGrants       = 'g' // JSON of Grants
	kindOrigins      = 'o' // JSON of Origins
	kindOriginQuery  = 'q' // JSON of OriginQuery
)

// memberHeartbeat is a heartbeat to a relay, which passes on its content.
type memberHeartbeat struct{ Heartbeat }

// encode encodes a *Heartbeat, *memberHeartbeat, *Digest, *memberDigest, *Update, *SlotRequests, *Grants, *Origins or *OriginQuery.
func encode(msg any) ([]byte, error) {
	switch msg := msg.(type) {
	case *Heartbeat:
		return encodeDeflated(kindHeartbeat, msg)
	case *memberHeartbeat:
		return encodeDeflated(kindMember, &msg.Heartbeat)
	case *Digest:
		return encodeDeflated(kindDigest, msg)
	case *memberDigest:
		b, err := encodeDeflated(kindMemberDigest, &msg.Digest)
		if err != nil {
			return nil, err
		}
		return slices.Insert(b, 1, binary.BigEndian.AppendUint32(nil, msg.echo)...), nil
	case *Update:
		return encodeJSON(kindUpdate, msg)
	case *SlotRequests:
		return encodeJSON(kindSlotRequests, msg)
	case *Grants:
		return encodeJSON(kindGrants, msg)
	case *Origins:
		return encodeJSON(kindOrigins, msg)
	case *OriginQuery:
		return encodeJSON(kindOriginQuery, msg)
	}
	return nil, errUnknownKind
}

// withEcho returns a copy of an encoded memberDigest with another echo.
func withEcho(data []byte, echo uint32) []byte {
	out := slices.Clone(data)
	binary.BigEndian.PutUint32(out[1:], echo)
	return out
}

// encodeJSON encodes a message as JSON.
func encodeJSON(kind byte, msg any) ([]byte, error) {
	b, err := json.Marshal(msg)
	return append([]byte{kind}, b...), err
}

// encodeDeflated encodes a message as deflated JSON, because traffic between zones is paid for.
func encodeDeflated(kind byte, msg any) ([]byte, error) {
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

// Limits of an inflated datagram.
const (
	// maxInflatedSize limits its size, in bytes. Digests come in parts of 10 KB before they are inflated.
	maxInflatedSize = 384 << 10
	// maxElements limits the brackets and commas in it: an empty object of two bytes becomes a value of up to 250 bytes. The loads
	// of 3,000 endpoints have about 12,000.
	maxElements = 32 << 10
)

// errTooLarge means that an inflated datagram exceeds a limit.
var errTooLarge = eris.New("datagram is too large when it is inflated; it is ignored, check the version of its sender")

// errUnknownKind means that a datagram is of an unknown kind.
var errUnknownKind = eris.New("datagram is of no known kind; its sender may run another version")

// echoSize is the size of an echo in the header of a datagram, in bytes.
const echoSize = 4

// errTruncated means that a datagram ends before its content begins.
var errTruncated = eris.New("datagram is too short")

// decode decodes a datagram: a *Heartbeat, *memberHeartbeat, *Digest, *memberDigest, *Update, *SlotRequests,
// *Grants, *Origins or *OriginQuery.
func decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, errUnknownKind
	}
	switch kind, data := data[0], data[1:]; kind {
	case kindHeartbeat:
		var b Heartbeat
		return &b, decodeDeflated(data, &b)
	case kindMember:
		var m memberHeartbeat
		return &m, decodeDeflated(data, &m.Heartbeat)
	case kindDigest:
		var d Digest
		return &d, decodeDeflated(data, &d)
	case kindMemberDigest:
		if len(data) < echoSize {
			return nil, errTruncated
		}
		d := memberDigest{echo: binary.BigEndian.Uint32(data)}
		return &d, decodeDeflated(data[echoSize:], &d.Digest)
	case kindUpdate:
		var u Update
		return &u, json.Unmarshal(data, &u)
	case kindSlotRequests:
		var m SlotRequests
		return &m, json.Unmarshal(data, &m)
	case kindGrants:
		var m Grants
		return &m, json.Unmarshal(data, &m)
	case kindOrigins:
		var m Origins
		return &m, json.Unmarshal(data, &m)
	case kindOriginQuery:
		var m OriginQuery
		return &m, json.Unmarshal(data, &m)
	}
	return nil, errUnknownKind
}

// decodeDeflated decodes deflated JSON.
func decodeDeflated(data []byte, msg any) error {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	b := inflated.Get().(*bytes.Buffer)
	defer inflated.Put(b)
	b.Reset()
	if _, err := b.ReadFrom(io.LimitReader(r, maxInflatedSize+1)); err != nil {
		return err
	}
	if b.Len() > maxInflatedSize || countElements(b.Bytes()) > maxElements {
		return errTooLarge
	}
	return json.Unmarshal(b.Bytes(), msg)
}

// inflated reuses the buffers of inflated datagrams. They do not grow.
var inflated = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, maxInflatedSize+1+bytes.MinRead)) }}

// countElements returns the number of brackets and commas in JSON, those in strings included.
func countElements(b []byte) int {
	return bytes.Count(b, []byte{','}) + bytes.Count(b, []byte{'{'}) + bytes.Count(b, []byte{'['})
}
