package main

import (
	"errors"
	"time"
)

const (
	entryHosts = 6
	// freezeTime is how long the first entry host is frozen. It is longer than the time after which it reads all values at
	// once, and shorter than that after which it asks the other hosts first.
	freezeTime = 2200 * time.Millisecond
	// versionDelay is the time from the freeze to the operator's first record, rejectDelay that to the rejection of the
	// second host by the store, and configDelay that to the operator's second record.
	versionDelay = 100 * time.Millisecond
	rejectDelay  = 2000 * time.Millisecond
	configDelay  = 2050 * time.Millisecond
	rejectTime   = 1500 * time.Millisecond
	// judgedTime is the time in which requests are judged, and requestInterval the time between two requests to a host.
	judgedTime      = 8 * time.Second
	requestInterval = 100 * time.Millisecond
	// maxStale is the number of requests that may be handled as only the older configuration says.
	maxStale = 0
)

type routeRecord struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, TargetLatencyMs, Attempts  int
}

type serviceRecord struct{ Name, HealthPath string }

type tenantRecord struct {
	Name    string
	APIKeys []string `json:"ApiKeys"`
}

type configRecord struct {
	Version  int
	Routes   []routeRecord
	Services []serviceRecord
	Tenants  []tenantRecord
	Limits   map[string]int
}

// configuration returns a configuration in which a service serves the only route, and keys may use it.
func configuration(version int, service string, keys ...string) configRecord {
	return configRecord{
		Version: version,
		Routes: []routeRecord{
			{Name: "read", Host: "app.example", PathPrefix: "/booking/", Kind: "idempotent", Service: service, TimeoutMs: 2500, TargetLatencyMs: 150, Attempts: 2},
		},
		Services: []serviceRecord{{Name: "old", HealthPath: "/health"}, {Name: "new", HealthPath: "/health"}},
		Tenants:  []tenantRecord{{Name: "t1", APIKeys: keys}},
		Limits:   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	}
}

type versionRecord struct {
	Model   string
	Version int
}

// lostConfiguration shows entry hosts that never apply a configuration: the first host, which reads the store for all, is
// frozen while the operator writes a version of the weights and a configuration, and the store rejects the second host
// for a moment.
func lostConfiguration(f *fleet, hasTrouble bool) (int, error) {
	for i, service := range []string{"old", "new", "old", "new"} {
		if err := f.startBackend(i, service); err != nil {
			return notRun, err
		}
	}
	if _, err := f.putOperatorRecord("version/m", versionRecord{Model: "m", Version: 1}); err != nil {
		return notRun, err
	}
	if _, err := f.putOperatorRecord("config", configuration(1, "old", "kept", "dropped")); err != nil {
		return notRun, err
	}
	for i := range entryHosts {
		if err := f.startGateway(i); err != nil {
			return notRun, err
		}
	}
	const startTime = 10 * time.Second
	for _, g := range f.gateways {
		if !await(startTime, g.isReady) {
			return notRun, errors.New("an entry host is not ready")
		}
	}
	time.Sleep(stabilityWindow)
	confirmedAt, err := f.writeBoth(hasTrouble)
	if err != nil {
		return notRun, err
	}
	time.Sleep(time.Until(confirmedAt.Add(stabilityWindow + configApply + outerBound)))
	return f.judge(confirmedAt), nil
}

// writeBoth writes the version and the configuration, with or without trouble, and returns when the configuration was
// confirmed.
func (f *fleet) writeBoth(hasTrouble bool) (confirmedAt time.Time, err error) {
	first, second := f.gateways[0], f.gateways[1]
	startTime := time.Now()
	if hasTrouble {
		answered := make(chan struct{}, 1)
		first.store.setOnDone(func(_, topic string) {
			if topic == "keyed.op" {
				select {
				case answered <- struct{}{}:
				default:
				}
			}
		})
		<-answered
		const answerTime = 20 * time.Millisecond
		time.Sleep(answerTime)
		startTime = time.Now()
		f.freeze(first)
	}
	at := func(d time.Duration) { time.Sleep(time.Until(startTime.Add(d))) }
	at(versionDelay)
	if _, err = f.putOperatorRecord("version/m", versionRecord{Model: "m", Version: 2}); err != nil {
		return confirmedAt, err
	}
	at(rejectDelay)
	if hasTrouble {
		second.store.reject(true)
		f.record.writef("the store rejects %s", second.ip)
	}
	at(configDelay)
	if confirmedAt, err = f.putOperatorRecord("config", configuration(2, "new", "kept")); err != nil {
		return confirmedAt, err
	}
	at(freezeTime)
	if hasTrouble {
		f.wake(first)
		at(rejectDelay + rejectTime)
		second.store.reject(false)
		f.record.writef("the store serves %s again", second.ip)
	}
	return confirmedAt, nil
}

// judge sends requests to all hosts, and counts those that are handled as only the older configuration says: they are run
// by the old service, or with the dropped key.
func (f *fleet) judge(confirmedAt time.Time) int {
	stale := 0
	for end := time.Now().Add(judgedTime); time.Now().Before(end); time.Sleep(requestInterval) {
		for _, g := range f.gateways {
			for _, key := range []string{"kept", "dropped"} {
				a := f.send(g, key)
				ranBy := f.services(a.id)
				isStale := ranBy == "old" || key == "dropped" && ranBy != ""
				f.record.writef("request %s with key %s, sent to %s %.1f s after the confirmation: status %d, error %v, run by %q, stale %t",
					a.id, key, g.ip, a.sentAt.Sub(confirmedAt).Seconds(), a.status, a.err, ranBy, isStale)
				if isStale {
					stale++
				}
			}
		}
	}
	f.record.writef("%d requests were handled as only the older configuration says", stale)
	if stale > maxStale {
		return broken
	}
	return held
}
