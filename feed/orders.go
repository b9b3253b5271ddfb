// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"bytes"
	"slices"
	"strings"
)

// Order is an order of the operators beside the configuration, such as one to evacuate an availability zone.
type Order struct {
	// Key is its key in the store and Value what was written.
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the number of the write.
	Revision uint64 `json:"revision"`
}

// Orders are all orders in force.
type Orders struct {
	// List is sorted by key.
	List []Order `json:"list,omitempty"`
	// Revision is a revision of the store at which exactly these orders stood: that of the newest order or
	// cancellation that is known, or 0 if there is none.
	Revision uint64 `json:"revision,omitempty"`
}

// maxOrderBytes limits the value of an order, so that hosts pass on no more than that. Orders have less than
// 200 bytes.
const maxOrderBytes = 4 << 10

// with returns the orders after an order or a cancellation. An order that is read in a later era of the store with the same value is the
// same one: what it asks for does not begin anew.
func (o Orders) with(it Item) Orders {
	revision := it.Revision
	list := slices.DeleteFunc(slices.Clone(o.List), func(old Order) bool {
		if old.Key == it.Key && eraOf(old.Revision) != eraOf(revision) && bytes.Equal(old.Value, it.Value) {
			revision = old.Revision
		}
		return old.Key == it.Key
	})
	if !it.Deleted {
		list = append(list, Order{Key: it.Key, Value: it.Value, Revision: revision})
		slices.SortFunc(list, func(a, b Order) int { return strings.Compare(a.Key, b.Key) })
	}
	return Orders{list, max(o.Revision, it.Revision)}
}

// has reports whether there is an order under a key.
func (o *Orders) has(key string) bool {
	return slices.ContainsFunc(o.List, func(x Order) bool { return x.Key == key })
}

// equalOrder reports whether two orders are the same write.
func equalOrder(a, b Order) bool {
	return a.Key == b.Key && a.Revision == b.Revision && bytes.Equal(a.Value, b.Value)
}

// Orders returns the orders in force.
func (s *Settings) Orders() Orders {
	if o := s.orders.Load(); o != nil {
		return *o
	}
	return Orders{}
}

// OfferOrders puts a peer's orders in force unless those in force are equally new or newer.
func (s *Settings) OfferOrders(o Orders) {
	s.ordersMu.Lock()
	defer s.ordersMu.Unlock()
	if o.Revision > s.Orders().Revision && s.Now() >= s.ordersKeptUntil {
		s.setOrders(o)
	}
}

// keepsOrders reports whether the orders in force stay although the store shows others at a revision: when it has come back from an older
// copy, operators have some time to write again what it lost. ordersMu must be held.
func (s *Settings) keepsOrders(revision uint64) bool {
	era := eraOf(revision)
	if known := s.ordersEra; era > known {
		s.ordersEra = era
		if s.ordersRead {
			s.ordersKeptUntil = s.Now() + s.StoreHealth.LapseTimes.RenewTime
			s.ordersDue.Store(true)
		}
	}
	s.ordersRead = true
	return s.Now() < s.ordersKeptUntil
}

// ordersAreDue reports once whether orders that were kept have to be read again.
func (s *Settings) ordersAreDue() bool {
	s.ordersMu.Lock()
	defer s.ordersMu.Unlock()
	return s.Now() >= s.ordersKeptUntil && s.ordersDue.Swap(false)
}

// readOrders puts in force what a read of all keys at a revision of the store shows. A cancellation removes
// the key and with it the revision of the cancellation, so that the revision of the read stands for it.
func (s *Settings) readOrders(items []Item, revision uint64) {
	s.ordersMu.Lock()
	defer s.ordersMu.Unlock()
	old := s.Orders()
	if revision < old.Revision {
		return // a peer has reported a newer order in the meantime
	}
	if s.keepsOrders(revision) {
		return
	}
	next := Orders{Revision: old.Revision}
	for _, it := range items {
		if !s.isOrder(it) {
			continue
		}
		if i := slices.IndexFunc(old.List, func(o Order) bool { return o.Key == it.Key }); i >= 0 {
			next.List = append(next.List, old.List[i]) // for with, which replaces it
		}
		next = next.with(it)
	}
	for _, o := range old.List {
		if !next.has(o.Key) {
			next.Revision = max(next.Revision, revision)
		}
	}
	s.setOrders(next)
}

// applyOrderChanges puts the orders and cancellations among changes, which are in order, in force.
func (s *Settings) applyOrderChanges(changes []Item) {
	s.ordersMu.Lock()
	defer s.ordersMu.Unlock()
	next := s.Orders()
	for _, it := range changes {
		// A peer may have reported it in the meantime.
		if it.Revision > next.Revision && s.isOrder(it) {
			next = next.with(it)
		}
	}
	s.setOrders(next)
}

// isOrder reports whether an item is an order or a cancellation.
func (s *Settings) isOrder(it Item) bool {
	if it.Key == s.Key || !strings.HasPrefix(it.Key, s.Prefix) {
		return false
	}
	if len(it.Value) > maxOrderBytes {
		s.refusedCount.Add(1)
		s.Log.Info("order refused: it is too large", "key", it.Key, "bytes", len(it.Value), "revision", ownRevision(it.Revision))
		return false
	}
	return true
}

// setOrders puts orders in force; ordersMu must be held.
func (s *Settings) setOrders(o Orders) {
	old := s.Orders()
	s.orders.Store(&o)
	if !slices.EqualFunc(old.List, o.List, equalOrder) && s.OnOrders != nil {
		s.OnOrders(o.List)
	}
}

// newestRevision returns the revision that identifies the settings in force: that of the newest write of
// the configuration or change of the orders, or 0 if there is no configuration.
func (s *Settings) newestRevision() uint64 {
	c := s.current.Load()
	if c == nil {
		return 0
	}
	return max(c.Revision, s.Orders().Revision)
}
