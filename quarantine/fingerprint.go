// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Fingerprint tells requests apart by what endpoints get of them. It is cut to 128 bits: a caller who could make two
// requests of one fingerprint would have one of them refused for the other.
type Fingerprint [16]byte

// String gives the fingerprint in 22 letters.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, f[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if base64.RawURLEncoding.DecodedLen(len(text)) != len(f) {
		return errFingerprint
	}
	if _, err := base64.RawURLEncoding.Decode(f[:], text); err != nil {
		return eris.Wrap(errFingerprint, err.Error())
	}
	return nil
}

// errFingerprint means that a text is no fingerprint.
var errFingerprint = eris.New("not a fingerprint; give the 22 letters that a log line has")

// Request is what tells one request from another: its ID and what concerns one attempt only have no part in it.
type Request struct {
	// Workspace is the caller, empty where the route is public.
	Workspace string
	// Method, Host and URI stand in the request's head; URI holds the query.
	Method, Host, URI string
	// Body is the whole body.
	Body []byte
}

// Fingerprint is SHA-256 of the fields, each behind its length, so that no two requests run into each other.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	var n [8]byte
	field := func(length int) {
		binary.BigEndian.PutUint64(n[:], uint64(length))
		h.Write(n[:])
	}
	for _, s := range []string{r.Workspace, r.Method, r.Host, r.URI} {
		field(len(s))
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}
