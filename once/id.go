// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Incarnation identifies one run of a host, drawn at random at each start; 0 is none.
type Incarnation uint64

// String gives the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return string(i.appendTo(make([]byte, 0, 16))) }

// ParseIncarnation reads what String wrote.
func ParseIncarnation(s string) (Incarnation, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 {
		return 0, fmt.Errorf("%q is no incarnation; it has 16 hexadecimal digits", s)
	}
	return Incarnation(n), nil
}

// MarshalText implements encoding.TextMarshaler.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Incarnation) UnmarshalText(b []byte) (err error) {
	*i, err = ParseIncarnation(string(b))
	return err
}

// Generation counts the periods after which a host forgets records.
type Generation uint32

// Prefix is the part of an ID that an address answer gives.
type Prefix struct {
	// Owner may dispatch the request, and nobody else.
	Owner Incarnation
	// OwnerGeneration is the owner's generation at the time of the answer.
	OwnerGeneration Generation
	// Witness records a call that may not be repeated; 0 is none.
	Witness Incarnation
	// WitnessGeneration is the witness's generation at the time of the answer.
	WitnessGeneration Generation
}

// String gives the prefix as text, ending in a dot.
func (p Prefix) String() string { return string(p.appendTo(make([]byte, 0, maxPrefix))) }

// maxPrefix is the longest prefix, in bytes.
const maxPrefix = 2*(16+1) + 2*(8+1)

// appendTo appends the prefix as text to b.
func (p Prefix) appendTo(b []byte) []byte {
	b = p.Owner.appendTo(b)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(p.OwnerGeneration), 16)
	b = append(b, '.')
	b = p.Witness.appendTo(b)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(p.WitnessGeneration), 16)
	return append(b, '.')
}

// appendTo appends the incarnation as 16 hexadecimal digits to b.
func (i Incarnation) appendTo(b []byte) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[i>>shift&15])
	}
	return b
}

// ID is the whole ID of a request.
type ID struct {
	Prefix
	// Unique is the caller's part: 1 to MaxUnique letters, digits, '-' or '_'.
	Unique string
}

// MaxUniqueLength is the longest caller's part of an ID, in bytes.
const MaxUniqueLength = 64

// idParts is the number of parts of an ID between dots.
const idParts = 5

// String gives the ID as text.
func (id ID) String() string {
	var buf [maxPrefix + MaxUniqueLength]byte
	return string(append(id.appendTo(buf[:0]), id.Unique...))
}

// ParseID reads an ID strictly: each ID has exactly one text.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != idParts {
		return ID{}, fmt.Errorf("an ID has %d parts between dots, this one %d; append your own part to a prefix of an address answer", idParts, len(parts))
	}
	var id ID
	var err error
	if id.Owner, err = ParseIncarnation(parts[0]); err != nil {
		return ID{}, err
	}
	if id.OwnerGeneration, err = parseGeneration(parts[1]); err != nil {
		return ID{}, err
	}
	if id.Witness, err = ParseIncarnation(parts[2]); err != nil {
		return ID{}, err
	}
	if id.WitnessGeneration, err = parseGeneration(parts[3]); err != nil {
		return ID{}, err
	}
	id.Unique = parts[4]
	if !validUnique(id.Unique) {
		return ID{}, fmt.Errorf("the caller's part of an ID has 1 to %d letters, digits, '-' or '_'", MaxUniqueLength)
	}
	if id.Owner == 0 || id.String() != s {
		return ID{}, fmt.Errorf("%q is not in canonical form; use the prefix as it was given", s)
	}
	return id, nil
}

// parseGeneration reads a generation.
func parseGeneration(s string) (Generation, error) {
	n, err := strconv.ParseUint(s, 16, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is no generation; use the prefix as it was given", s)
	}
	return Generation(n), nil
}

// validUnique reports whether s may be the caller's part.
func validUnique(s string) bool {
	if s == "" || len(s) > MaxUniqueLength {
		return false
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !ok {
			return false
		}
	}
	return true
}

// NewIncarnation draws an incarnation from the operating system's random
// source; two are equal with a probability of 2^-64 for each pair.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return Incarnation(max(1, binary.LittleEndian.Uint64(b[:])))
}
