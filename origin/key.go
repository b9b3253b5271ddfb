// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package origin

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Key identifies a stream at a service by a digest of the request that brought its first event. Two
// services are two keys, since their versions have nothing to do with each other.
type Key uint64

// KeyOf returns the key of a stream of a workspace on a route to a service; id is the ID of the request
// that brought the first event.
func KeyOf(workspace, route, service, id string) Key {
	d := xxhash.New()
	for _, s := range []string{workspace, route, service, id} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return Key(d.Sum64())
}

// Keys is a list of keys; it is encoded as text, in base64 of 8 bytes each.
type Keys []Key

// keySize is the size of an encoded key, in bytes before base64.
const keySize = 8

// errKeys means that encoded keys are damaged.
var errKeys = eris.New("encoded keys are not a whole number of keys")

// MarshalText implements encoding.TextMarshaler.
func (ks Keys) MarshalText() ([]byte, error) {
	b := make([]byte, 0, keySize*len(ks))
	for _, k := range ks {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
	}
	return base64.RawStdEncoding.AppendEncode(nil, b), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (ks *Keys) UnmarshalText(text []byte) error {
	b, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return eris.Wrap(err, "keys are not in base64")
	}
	if len(b)%keySize != 0 {
		return errKeys
	}
	*ks = make(Keys, 0, len(b)/keySize)
	for ; len(b) > 0; b = b[keySize:] {
		*ks = append(*ks, Key(binary.BigEndian.Uint64(b)))
	}
	return nil
}
