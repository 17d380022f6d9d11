package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Bounds and quota of the tenant in the quota case.
const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	quotaRate   = 100
	quotaBurst  = 100
)

// quotaLimit is the number of requests that may run in a window.
const quotaLimit = (quotaRate*5+quotaBurst)*(1+quotaOver) + quotaSlack

// Times of the quota case.
const (
	trafficDelay = 8 * time.Second         // from the start of the machines to the traffic
	outageTime   = 4400 * time.Millisecond // platform_down of the site: up to 4.5 s
	killDelay    = 1500 * time.Millisecond // from the begin of the outage
	quotaRounds  = 5
	// sharesDelay is from the return of the store to a look at the metrics of the nodes.
	sharesDelay = 1500 * time.Millisecond
	// usualInterval is the time between two requests of the tenant at one machine: 8 machines send its usual load, from
	// which the site derives the quota (quota_x = 1.6).
	usualInterval = 128 * time.Millisecond
	// hotInterval is that of the requests that are added for hotTime: together 7.4 times the usual. hot_tenant of the site
	// is up to 7.5 times for 6.5 s.
	hotInterval = 20 * time.Millisecond
	hotTime     = 6400 * time.Millisecond
	hotLead     = 500 * time.Millisecond // from its begin to the return of the store
)

// runQuota takes the store away for a moment in which the leases run out. Meanwhile all nodes are killed and started
// again. When the store returns, a tenant sends several times its usual. It does so up to quotaRounds times.
func runQuota(f *fleet, trouble bool) (int, error) {
	time.Sleep(trafficDelay)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range f.machines {
		m.clients.run(ctx, usualInterval, http.MethodGet, "/portfolio/", hotKey, time.Second)
	}
	for range quotaRounds {
		time.Sleep(quotaWindow)
		if trouble {
			f.rec.printf("the store is down, and leases run out")
			f.store.setDown(true)
		}
		time.Sleep(killDelay)
		if trouble {
			for _, m := range f.machines {
				m.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(outageTime - killDelay - hotLead)
		f.rec.printf("%s sends more", hotTenant)
		hot, end := context.WithTimeout(ctx, hotTime)
		defer end()
		for _, m := range f.machines {
			m.clients.run(hot, hotInterval, http.MethodGet, "/portfolio/", hotKey, time.Second)
		}
		time.Sleep(hotLead)
		if trouble {
			f.rec.printf("the store is back")
			f.store.setDown(false)
		}
		time.Sleep(sharesDelay)
		f.recordShares()
		time.Sleep(hotTime - sharesDelay)
	}
	cancel()

	runs := f.quotaRuns()
	most, begin := mostInWindow(runs)
	f.rec.printf("at most %d requests ran in a window of %v, which begins at %.3f s; the limit is %.0f", most, quotaWindow, f.rec.seconds(begin), float64(quotaLimit))
	return max(0, most-quotaLimit), nil
}

// recordShares records the shares of the hot tenant's rate in the nodes' metrics. They explain the result and are not
// judged.
func (f *fleet) recordShares() {
	sum := 0.0
	var shares []string
	for _, m := range f.machines {
		var metrics struct {
			Shares map[string]struct {
				Share float64 `json:"share"`
			} `json:"quota_shares"`
		}
		response, err := m.backend.client.Get("http://" + m.internal + "/debug/vars")
		if err == nil {
			err = json.NewDecoder(response.Body).Decode(&metrics)
			_ = response.Body.Close()
		}
		share := metrics.Shares[hotTenant].Share
		sum += share
		shares = append(shares, fmt.Sprintf("%.2f", share))
		if err != nil {
			f.rec.printf("no metrics of %s: %v", m.name, err)
		}
	}
	f.rec.printf("metrics: shares of the rate of %s at the nodes: %s, together %.2f", hotTenant, strings.Join(shares, " "), sum)
}

// quotaRuns records the requests of the hot tenant and returns those that have run.
func (f *fleet) quotaRuns() []quotaRun {
	sentAt := map[string]time.Time{}
	for _, m := range f.machines {
		for _, s := range m.clients.all() {
			if s.key == hotKey {
				sentAt[s.id] = s.at
				f.rec.printf("request %s to %s sent at %.3f s, status %d after %v", s.id, m.name, f.rec.seconds(s.at), s.status, s.after.Round(time.Millisecond))
			}
		}
	}
	var runs []quotaRun
	for _, m := range f.machines {
		for _, e := range m.backend.ran() {
			if at, ok := sentAt[e.id]; ok {
				runs = append(runs, quotaRun{at, e.at})
				f.rec.printf("%s began to run %s for %s at %.3f s", e.instance, e.id, e.tenant, f.rec.seconds(e.at))
			}
		}
	}
	return runs
}

// quotaRun is a request that has run.
type quotaRun struct{ sent, arrived time.Time }

// mostInWindow returns the largest number of requests that were both sent and arrived in a window, and its begin.
func mostInWindow(runs []quotaRun) (most int, begin time.Time) {
	slices.SortFunc(runs, func(a, b quotaRun) int { return a.sent.Compare(b.sent) })
	for i, first := range runs {
		end := first.sent.Add(quotaWindow)
		count := 0
		for _, r := range runs[i:] {
			if !r.sent.Before(end) {
				break
			}
			if r.arrived.Before(end) {
				count++
			}
		}
		if count > most {
			most, begin = count, first.sent
		}
	}
	return most, begin
}
