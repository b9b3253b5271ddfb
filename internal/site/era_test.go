// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/platform"
)

// TestRevisionsOfAnEarlierEraAreRefused checks that a client of a store that came back from an older copy does not go on with revisions
// that the store has given out again since.
func TestRevisionsOfAnEarlierEraAreRefused(t *testing.T) {
	ctx := context.Background()
	store := NewStore()
	srv := httptest.NewServer(store.Handler())
	defer srv.Close()
	var eras [][2]uint64
	c := &platform.Store{Base: srv.URL, HTTP: srv.Client(), OnEra: func(before, now uint64) { eras = append(eras, [2]uint64{before, now}) }}

	store.Put("servers/a", "1")
	old := store.Copy()
	store.Put("servers/a", "2")
	store.Put("servers/b", "1")
	before, err := c.Range(ctx, "servers/", false)
	must.NoError(t, err)
	must.SliceLen(t, 2, before.Items)

	store.GoBack(old)
	_, err = c.Watch(ctx, "servers/", before.Revision, 0)
	must.ErrorIs(t, err, feed.ErrCompacted) // the store does not have that revision
	for range 4 {
		store.Put("servers/a", "again")
	}
	_, err = c.Watch(ctx, "servers/", before.Revision, 0)
	must.ErrorIs(t, err, feed.ErrCompacted) // it has given it out again

	after, err := c.Range(ctx, "servers/", false)
	must.NoError(t, err)
	must.Less(t, after.Revision, before.Revision)
	must.Less(t, after.Items[0].Revision, before.Items[1].Revision)
	_, err = c.Watch(ctx, "servers/", after.Revision, 0)
	must.NoError(t, err)
	must.Eq(t, [][2]uint64{{0, 1}, {1, 2}}, eras)

	for _, do := range []func(revision uint64) (bool, feed.Item, error){
		func(revision uint64) (bool, feed.Item, error) {
			return c.Swap(ctx, "own/x", []byte(`"mine"`), 0, revision)
		},
		func(revision uint64) (bool, feed.Item, error) { return c.Remove(ctx, "own/x", revision) },
	} {
		store.Put("own/x", "theirs")
		_, own := feed.SplitEra(store.revisionOf("own/x"))
		ok, it, err := do(feed.InEra(1, own)) // the number of another write in the era before
		must.NoError(t, err)
		must.False(t, ok)
		must.EqOp(t, `"theirs"`, string(it.Value))
		ok, _, err = do(it.Revision)
		must.NoError(t, err)
		must.True(t, ok)
	}
}

// revisionOf returns the store's revision of a key.
func (s *Store) revisionOf(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}
