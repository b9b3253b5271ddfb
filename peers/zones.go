// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

// ZoneDemand is the demand for a service in an availability zone, as one host or a sum of hosts reports it.
type ZoneDemand struct {
	// Arrivals is the number of requests per second that callers send to the zone's hosts, Waiting the number
	// that wait there, and Hosts the number of these hosts that report.
	Arrivals float64 `json:"a,omitempty"`
	Waiting  int     `json:"w,omitempty"`
	Hosts    int     `json:"h,omitempty"`
	// Running is the number of requests that run at the zone's endpoints, sent by hosts of any zone.
	Running int `json:"r,omitempty"`
}

// ZoneDemands is the demand by zone and service.
type ZoneDemands map[string]map[string]ZoneDemand

// Add adds other demands, each with the given sign.
func (z ZoneDemands) Add(other ZoneDemands, sign int) {
	for zone, services := range other {
		if z[zone] == nil {
			z[zone] = make(map[string]ZoneDemand, len(services))
		}
		for service, d := range services {
			sum := z[zone][service]
			sum.Arrivals = max(0, sum.Arrivals+float64(sign)*d.Arrivals)
			sum.Waiting = max(0, sum.Waiting+sign*d.Waiting)
			sum.Hosts = max(0, sum.Hosts+sign*d.Hosts)
			sum.Running = max(0, sum.Running+sign*d.Running)
			z[zone][service] = sum
		}
	}
}
