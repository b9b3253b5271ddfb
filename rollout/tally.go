// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "math"

// Tally counts the answers of one version to requests on one route.
type Tally struct {
	// Answers counts the requests that were answered or failed, and Bad those of them that failed or
	// took several times as long as usual.
	Answers, Bad float64
}

// add adds another tally.
func (t Tally) add(u Tally) Tally { return Tally{t.Answers + u.Answers, t.Bad + u.Bad} }

// ratio returns the share of bad answers.
func (t Tally) ratio() float64 {
	if t.Answers == 0 {
		return 0
	}
	return t.Bad / t.Answers
}

// Parameters of the comparison of two versions.
const (
	// minBad is the number of bad answers below which nothing is concluded.
	minBad = 5
	// minExcess is the difference of the shares of bad answers below which versions count as equal.
	minExcess = 0.04
	// minFactor is the same as a factor.
	minFactor = 1.5
	// maxChance is the probability up to which a difference is taken for chance. A good version is compared
	// some hundred times in a roll-out, on each of several routes.
	maxChance = 1e-5
)

// worse reports whether the share of bad answers of t is certainly larger than that of old. The probability of
// n answers of which the share p is bad, if q of them are bad in the mean, is at most exp(-n·D(p‖q)) with
//
//	D(p‖q) = p·ln(p/q) + (1-p)·ln((1-p)/(1-q))
//
// [Hoeffding, "Probability inequalities for sums of bounded random variables", 1963]. One bad and one good
// answer are added to those of old, so that q is not 0.
func (t Tally) worse(old Tally) bool {
	if t.Bad < minBad || old.Answers == 0 {
		return false
	}
	p, q := t.ratio(), old.add(Tally{Answers: 2, Bad: 1}).ratio()
	if p < minFactor*q || p < q+minExcess {
		return false
	}
	d := p * math.Log(p/q)
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return t.Answers*d > -math.Log(maxChance)
}
