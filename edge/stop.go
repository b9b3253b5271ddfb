// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"os"
	"reflect"
	"syscall"
	"time"

	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/platform"
)

// waitForStop handles signals until one to stop arrives, and stops the host.
func (h *Host) waitForStop(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.reloads:
			h.reload()
		case s := <-signals:
			if s != syscall.SIGHUP {
				h.stop()
				return
			}
			h.reload()
		}
	}
}

// reload reads the settings file again and applies what may change while the host runs: the
// addresses of other hosts and the limits on the age of settings. An invalid file changes nothing.
func (h *Host) reload() {
	b, err := platform.ReadBoot(h.Path)
	if err != nil {
		h.Log.Error(err, "invalid settings file ignored; the previous one stays in force")
		return
	}
	if reflect.DeepEqual(b, h.lastBoot) {
		return
	}
	h.lastBoot = b
	h.agent.SetSeeds(h.seedAddresses(b.Seeds))
	a := ageLimits(&b)
	h.ingress.SetAgeLimits(a)
	h.Log.Info("settings file in force", "seeds", len(b.Seeds), "trust", a.MaxKeyAge.String(), "strict", a.Strict)
}

// ageLimits returns the limits on the age of the settings.
func ageLimits(b *platform.Boot) ingress.AgeLimits {
	return ingress.AgeLimits{
		MaxKeyAge:     time.Duration(maxKeyAgeShare * float64(b.RevokeTime)),
		Strict:        b.StrictRevoke,
		MaxUnknownAge: time.Duration(maxUnknownAgeShare * float64(b.ConfigTime)),
	}
}

// pollSettingsFile triggers a reload periodically, for changes of the settings file without a
// signal.
func (h *Host) pollSettingsFile(ctx context.Context) {
	if h.Path == "" {
		return
	}
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.reloads <- struct{}{}
		}
	}
}

// filePollInterval is the time between two reads of the settings file.
const filePollInterval = 5 * time.Second

// Times of a graceful stop.
const (
	// minLinger is how long callers with old address answers are still served.
	minLinger = 3500 * time.Millisecond
	// maxGraceReserve and graceReserveShare limit the part of the grace period that is left unused, in which the process ends: what still
	// runs in the last sixth of the period may be cut, and nothing before.
	maxGraceReserve   = 700 * time.Millisecond
	graceReserveShare = 1.0 / 8
	// notifyShare is the share of that part in which callers are told that their requests were ended.
	notifyShare = 0.4
	// stopCheckInterval and notifyCheckInterval are the times between two looks at whether requests are active, before and after these are
	// ended.
	stopCheckInterval   = 50 * time.Millisecond
	notifyCheckInterval = 10 * time.Millisecond
)

// graceReserve returns the part of a grace period that is left unused.
func graceReserve(grace time.Duration) time.Duration {
	return min(maxGraceReserve, time.Duration(graceReserveShare*float64(grace)))
}

// notifyTime returns the longest time for telling callers that their requests were ended.
func notifyTime(grace time.Duration) time.Duration {
	return time.Duration(notifyShare * float64(graceReserve(grace)))
}

// stop announces the stop to callers and peers and returns when no request is active or the grace
// period is over. Requests that are still active then are ended, and their callers told.
func (h *Host) stop() {
	start := h.now()
	left := h.Boot.GracePeriod - graceReserve(h.Boot.GracePeriod)
	close(h.stopping)
	h.ingress.Stop(left)
	h.agent.TriggerHeartbeat()
	h.Log.Info("stopping", "active", h.ingress.Active())
	for h.now()-start < left {
		if h.now()-start > min(minLinger, h.Boot.GracePeriod/2) && h.ingress.Active() == 0 {
			break
		}
		time.Sleep(stopCheckInterval)
	}
	h.Log.Info("stopped", "active", h.ingress.Active())
	h.ingress.EndAll()
	// net/http writes the last bytes of a response after its request has become inactive.
	for end := h.now() + notifyTime(h.Boot.GracePeriod); h.now() < end; time.Sleep(notifyCheckInterval) {
		if h.ingress.Active() == 0 {
			time.Sleep(notifyCheckInterval)
			return
		}
	}
}
