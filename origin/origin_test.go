// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestKeysText(t *testing.T) {
	for _, keys := range []Keys{nil, {0}, {1, 1 << 63, 42}} {
		text, err := keys.MarshalText()
		must.NoError(t, err)
		var got Keys
		must.NoError(t, got.UnmarshalText(text))
		must.SliceEqFunc(t, keys, got, func(a, b Key) bool { return a == b })
	}
	for _, text := range []string{"AAA", "!", "AAAAAAAAAAAA"} {
		must.Error(t, new(Keys).UnmarshalText([]byte(text)))
	}
}

// TestKeysDiffer checks that neither workspaces, routes, services nor IDs share a key, also where their concatenation is the same.
func TestKeysDiffer(t *testing.T) {
	seen := make(map[Key]string)
	for _, parts := range [][4]string{{"w", "r", "s", "1"}, {"w", "r", "s", "2"}, {"w", "r", "t", "1"}, {"w", "q", "s", "1"}, {"v", "r", "s", "1"}, {"", "wr", "s", "1"}, {"wr", "", "s", "1"}} {
		k := KeyOf(parts[0], parts[1], parts[2], parts[3])
		must.EqOp(t, "", seen[k])
		seen[k] = fmt.Sprint(parts)
	}
}

// TestBook checks what is remembered, for how long, and what is told to other hosts.
func TestBook(t *testing.T) {
	var b Book
	b.Note(0, 1, "s", "v1", false)
	b.Note(0, 2, "s", "v1", true)
	b.Note(0, 3, "other", "v7", false)
	b.Note(time.Second, 2, "s", "v2", true) // a stream keeps the version that began it
	must.Eq(t, Report{Known: map[string]Keys{"v1": {2}}}, b.TakeUntold())
	must.Eq(t, Report{}, b.TakeUntold())

	b.Merge(time.Second, &Report{Known: map[string]Keys{"v2": {4, 1}}})
	must.Eq(t, Report{Known: map[string]Keys{"v1": {1}, "v2": {4}}, Unknown: Keys{9}}, b.LookUp(Keys{1, 4, 9}))

	b.TellAll("s")
	told := b.TakeUntold()
	must.SliceContainsAll(t, Keys{1, 2}, told.Known["v1"])
	must.MapLen(t, 1, told.Known)

	b.Note(Memory-time.Second, 5, "s", "v1", false)
	b.Note(Memory+time.Second, 6, "s", "v1", false)
	for _, k := range []Key{1, 2, 4, 5, 6} {
		_, ok := b.Version(k)
		must.True(t, ok)
	}
	b.Note(2*Memory+2*time.Second, 7, "s", "v1", false)
	_, ok := b.Version(1)
	must.False(t, ok)
}

// TestBookIsBounded checks that a flood of streams takes bounded memory.
func TestBookIsBounded(t *testing.T) {
	var b Book
	for k := range Key(5 * maxGeneration) {
		b.Merge(0, &Report{Known: map[string]Keys{"v1": {k}}})
	}
	must.LessEq(t, 2*maxGeneration, b.Len())
}

// TestHistory checks when a version is known to be the only one that can have begun a stream.
func TestHistory(t *testing.T) {
	type list map[string]map[string]bool
	one, two, both := list{"s": {"v1": true}}, list{"s": {"v2": true}}, list{"s": {"v1": true, "v2": true}}
	whole := func(versions ...string) *Record { return &Record{Versions: versions, Whole: true} }
	cases := []struct {
		name     string
		complete bool
		record   *Record // read before the first list; nil for none
		lists    []list  // one each second
		after    time.Duration
		sole     string // "" for none
		mixed    bool
	}{
		{"from the first start on, before there is a record", true, nil, []list{one}, 0, "", false},
		{"from the first start on", true, whole("v1"), []list{one}, 0, "v1", false},
		{"after another start", false, nil, []list{one}, 0, "", false},
		{"long after another start", false, nil, []list{one}, Memory, "v1", false},
		{"two versions", true, nil, []list{one, both}, 10 * Memory, "", true},
		{"the old one has just gone", true, nil, []list{one, both, two}, 0, "", true},
		{"the old one went a while ago", true, nil, []list{one, both, two}, Memory / 2, "", true},
		{"the old one went long ago", true, nil, []list{one, both, two}, Memory, "v2", false},
		{"all went at once", true, nil, []list{one, {}, two}, 0, "", true},
		{"a record of the listed version", false, whole("v1"), []list{one}, 0, "v1", false},
		{"a record of another version", false, whole("v1"), []list{two}, 0, "", true},
		{"a record of two versions", false, whole("v1", "v2"), []list{one}, 0, "", true},
		{"a record of another version, long after", false, whole("v1"), []list{two}, Memory, "v2", false},
		{"a record that may lack versions", false, &Record{Versions: []string{"v1"}}, []list{one}, 0, "", false},
		{"no endpoints", true, nil, []list{{}}, 0, "", false},
		{"no endpoints, and a record", false, whole("v1"), []list{{}}, 0, "v1", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := History{Complete: tc.complete}
			if tc.record != nil {
				h.SetRecord(0, "s", *tc.record)
			}
			now := time.Duration(0)
			becameMixed := 0
			for i, l := range tc.lists {
				now = time.Duration(i) * time.Second
				h.SetListed(now, l)
				becameMixed += len(h.TakeNewlyMixed(now))
			}
			version, ok := h.Sole(now+tc.after, "s")
			must.EqOp(t, tc.sole != "", ok)
			if ok {
				must.EqOp(t, tc.sole, version)
			}
			must.EqOp(t, tc.mixed, h.Mixed(now+tc.after, "s"))
			must.EqOp(t, becameMixed > 0, h.Mixed(now, "s"))
		})
	}
}

// TestRecords checks what a record has to say, which versions lack one, and that a version which comes back after long counts as one that
// is not on record, since another host may have taken it off.
func TestRecords(t *testing.T) {
	listed := func(versions ...string) map[string]map[string]bool {
		l := map[string]map[string]bool{"s": {}}
		for _, v := range versions {
			l["s"][v] = true
		}
		return l
	}
	var h History
	h.SetListed(0, listed("v1"))
	must.Eq(t, []string{"s"}, h.Unrecorded())
	want, current := h.WantedRecord(0, "s")
	must.Eq(t, Record{Versions: []string{"v1"}}, want)
	must.False(t, current)

	h.SetRecord(0, "s", want)
	must.SliceEmpty(t, h.Unrecorded())
	_, current = h.WantedRecord(0, "s")
	must.True(t, current)
	want, current = h.WantedRecord(Memory, "s")
	must.True(t, want.Whole)
	must.False(t, current)

	h.SetRecord(Memory, "s", want)
	h.SetListed(Memory, listed("v1", "v2"))
	must.Eq(t, []string{"s"}, h.Unrecorded())
	must.False(t, h.OnRecord("s", "v2"))
	want, _ = h.WantedRecord(Memory, "s")
	must.Eq(t, Record{Versions: []string{"v1", "v2"}, Whole: true}, want)
	h.SetRecord(Memory, "s", want)

	h.SetListed(2*Memory, listed("v2"))
	_, current = h.WantedRecord(2*Memory+Memory, "s")
	must.True(t, current)
	want, _ = h.WantedRecord(2*Memory+recordMemory, "s")
	must.Eq(t, Record{Versions: []string{"v2"}, Whole: true}, want)
	must.True(t, h.OnRecord("s", "v1"))
	h.SetListed(3*Memory, listed("v1", "v2"))
	must.False(t, h.OnRecord("s", "v1"))

	h.DropRecords()
	must.False(t, h.OnRecord("s", "v2"))
	must.Eq(t, []string{"s"}, h.Unrecorded())
}

// TestBookSaves checks that a host which saves streams saves each once: those that it was told, those of services that have come to have
// several versions, and all that it remembers when it begins to; and not those that it has read.
func TestBookSaves(t *testing.T) {
	var b Book
	b.Note(0, 1, "s", "v1", false)
	b.Merge(0, &Report{Known: map[string]Keys{"v2": {2}}})
	must.Eq(t, Report{}, b.TakeUnsaved())
	b.SetSaves(true)
	b.Restore(0, &Report{Known: map[string]Keys{"v3": {3}}})
	must.Eq(t, Report{Known: map[string]Keys{"v1": {1}, "v2": {2}}}, b.TakeUnsaved())
	b.Note(0, 4, "s", "v1", true)
	b.Merge(0, &Report{Known: map[string]Keys{"v2": {2, 5}}})
	r := b.TakeUnsaved()
	must.Eq(t, Report{Known: map[string]Keys{"v1": {4}, "v2": {5}}}, r)
	b.ReturnUnsaved(&r)
	must.Eq(t, r, b.TakeUnsaved())
	version, ok := b.Version(3)
	must.True(t, ok)
	must.EqOp(t, "v3", version)
}
