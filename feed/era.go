// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

// A revision orders the writes of one era of the store only: a store that comes back from an older copy gives revisions out again, and
// begins the next era. Hosts therefore keep and pass on revisions in one number that orders the writes of all eras. What is read in an
// era has a number of that era, also if it was written before: that it stands there is known of that era alone.

// eraShift is the number of low bits that hold the revision within its era: 2.8·10^14 revisions, and 65,535 eras.
const eraShift = 48

// InEra returns the number of a revision of the store within an era. Era 0 is that of a store that names none.
func InEra(era, revision uint64) uint64 { return era<<eraShift | revision&(1<<eraShift-1) }

// SplitEra returns the era and the store's own revision of a number that InEra returned.
func SplitEra(revision uint64) (era, own uint64) {
	return revision >> eraShift, revision & (1<<eraShift - 1)
}

// eraOf returns the era of a number that InEra returned.
func eraOf(revision uint64) uint64 { return revision >> eraShift }

// ownRevision returns the store's own revision of a number that InEra returned, for the log.
func ownRevision(revision uint64) uint64 { _, own := SplitEra(revision); return own }
