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

// Fingerprint identifies a request by what endpoints receive of it. It is a hash cut to 128 bits,
// long enough that a caller cannot make two requests with the same fingerprint, one of which would
// be refused because of the other.
type Fingerprint [16]byte

// String returns the fingerprint as 22 letters of unpadded URL-safe base64.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, f[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if base64.RawURLEncoding.DecodedLen(len(text)) != len(f) {
		return errInvalidFingerprint
	}
	if _, err := base64.RawURLEncoding.Decode(f[:], text); err != nil {
		return eris.Wrap(errInvalidFingerprint, err.Error())
	}
	return nil
}

// errInvalidFingerprint means that a text is not a fingerprint.
var errInvalidFingerprint = eris.New("not a fingerprint; give the 22 letters that a log line has")

// Request holds the parts of a request that identify it. Its ID and whatever concerns a single
// attempt are left out.
type Request struct {
	// Workspace is the caller's workspace, empty if the route is public.
	Workspace string
	// Method, Host and URI come from the head of the request. URI includes the query.
	Method, Host, URI string
	// Body is the complete body.
	Body []byte
}

// Fingerprint returns the first 128 bits of SHA-256 over the fields. Each field but the last is
// preceded by its length, so that moving a boundary between fields changes the hash.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	var n [8]byte
	writeLength := func(length int) {
		binary.BigEndian.PutUint64(n[:], uint64(length))
		h.Write(n[:])
	}
	for _, s := range []string{r.Workspace, r.Method, r.Host, r.URI} {
		writeLength(len(s))
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}
