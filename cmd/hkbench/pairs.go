// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/internal/pairs"
	"github.com/heathkeel/heathkeel/platform"
)

// pairsArgs are the settings of "hkbench pairs".
type pairsArgs struct {
	A string `arg:"positional,required" help:"folder of one version's reports, SITE DAY SEED.txt each"`
	B string `arg:"positional,required" help:"the same of the other version"`
}

// run prints what differs between the days that both versions have played.
func (a *pairsArgs) run(w io.Writer) error {
	files, err := filepath.Glob(filepath.Join(a.A, "*.txt"))
	if err != nil {
		return eris.Wrap(err, "folder cannot be read")
	}
	slices.Sort(files)
	var all []pairs.Pair
	for _, f := range files {
		p, ok, err := readPair(f, filepath.Join(a.B, filepath.Base(f)))
		if err != nil {
			return err
		}
		if ok {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return eris.Errorf("no day was played by both of %s and %s; play some with deploy/compare", a.A, a.B)
	}
	return pairs.Write(w, all)
}

// readPair reads the two reports of a day, and returns false if the second was not played.
func readPair(a, b string) (pairs.Pair, bool, error) {
	var p pairs.Pair
	name := strings.TrimSuffix(filepath.Base(a), ".txt")
	if n, err := fmt.Sscan(name, &p.Site, &p.Day, &p.Seed); n < 3 {
		return p, false, eris.Wrapf(err, "%s is not named SITE DAY SEED.txt; move it away", a)
	}
	if _, err := os.Stat(b); os.IsNotExist(err) {
		return p, false, nil
	}
	for _, side := range []struct {
		path string
		to   *platform.DayReport
	}{{a, &p.A}, {b, &p.B}} {
		f, err := os.Open(side.path)
		if err != nil {
			return p, false, eris.Wrap(err, "report cannot be opened")
		}
		*side.to, err = platform.ReadDayReport(f)
		_ = f.Close() // it was only read
		if err != nil {
			return p, false, eris.Wrap(err, side.path)
		}
	}
	return p, true, nil
}
