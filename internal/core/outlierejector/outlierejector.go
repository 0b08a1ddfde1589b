// Package outlierejector decides which endpoints of a pool get no requests because they fail far more often than the others.
//
// It is built for endpoints that fail requests at once while they report good health: they always seem idle and attract
// requests. Some requests fail by their nature, so an endpoint is compared with the others of its pool, and a pool that
// fails as a whole stays in use. All hosts apply the same rule to nearly the same sums, so they need not agree on a decision.
package outlierejector

import (
	"math"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
)

const (
	// maxEjectedShare is the largest share of a pool that is ejected. One endpoint of a pool of minPoolSize may always be.
	maxEjectedShare = 0.3
	minPoolSize     = 3
	// minOtherRequests is the decayed number of requests at the others of the pool below which they say too little.
	minOtherRequests = 5
	// rateFactor is how many times the mean failure rate of the others an endpoint must fail.
	rateFactor = 3
	// recentTime is how recent the outcomes of the others must be that are compared with a failure rate, and how long the
	// rate must last. Counts of other endpoints are up to 0.3 s old, so that a failure of the whole pool seems to begin at one.
	recentTime = 500 * time.Millisecond
	// expectedWeight is the number of requests that the expected time counts for in the mean time of an endpoint.
	expectedWeight = 0.5
	// suspectRun is the number of failures in sequence after which other endpoints are preferred.
	suspectRun = 2
	// minMeanRate is the least mean failure rate that endpoints are compared with.
	minMeanRate = 0.01
	// maxExpectedRate keeps the logarithm of the expected rate from being zero.
	maxExpectedRate = 0.99
	// runProbability is the probability below which a run of failures is not chance. Pools get up to a hundred requests
	// per second, so that it stands for one false ejection in some days.
	runProbability = 1e-8
	minRun         = 4
	// minRate and minDeviations decide without a run: the failure rate, and the distance of the failures from those that
	// the mean predicts, in standard deviations.
	minRate       = 0.2
	minDeviations = 5
	// readmissionRun is the number of requests that an ejected endpoint must serve in sequence.
	readmissionRun = 2
	// trialPause is the least time from a failure to the next request at an ejected endpoint. It grows by trialPauseGrowth with
	// each failure in sequence, up to maxTrialPause: a fault of a few seconds costs a few requests, and a longer one fewer per
	// second.
	trialPause       = time.Second
	trialPauseGrowth = 250 * time.Millisecond
	maxTrialPause    = 4 * time.Second
	// repeatableWait is how long after that only requests that may be repeated are sent.
	repeatableWait = time.Second
	// offerInterval is the time after which one host considers an ejected endpoint again. Each time costs it a query.
	offerInterval = time.Second
	// forgottenRequests is the decayed number of requests at which nothing is known of an endpoint any more.
	forgottenRequests = 0.001
)

// Member holds what is known of one endpoint of a pool. The zero value is an endpoint without requests.
type Member struct {
	sums outcometracker.Sums
	at   time.Time
	// local holds the requests of this host since its start.
	local outcometracker.Totals
	// servedSentAt is when the last request that was served was sent.
	servedSentAt time.Time
	// failingSince is when the failure rate became far above the mean; zero if it is not.
	failingSince time.Time
	isEjected    bool
	// isByZone says that the requests of this host's zone led to the ejection.
	isByZone  bool
	nextOffer time.Time
}

// Totals returns the numbers of requests of this host.
func (m *Member) Totals() outcometracker.Totals {
	totals := m.local
	totals.ServedAge = outcometracker.NewMilliseconds(time.Since(m.servedSentAt))
	return totals
}

// MeanTime returns the mean time that recent requests of all hosts took. It approaches the expected time as they age.
func (m *Member) MeanTime(expected time.Duration, now time.Time) time.Duration {
	c := m.sums.All.After(now.Sub(m.at))
	sum := float64(c.ServedMs)*float64(time.Millisecond) + expectedWeight*float64(expected)
	return time.Duration(sum / (float64(c.Served) + expectedWeight))
}

// IsSuspect reports whether the last requests of this zone or of all hosts at the endpoint have failed a moment ago. Other
// endpoints are preferred then: this is known before it is certain that the pool does not fail as a whole.
func (m *Member) IsSuspect(now time.Time) bool {
	if m.sums.All.FailedRun < suspectRun && m.sums.Zone.FailedRun < suspectRun {
		return false
	}
	s := m.current(now)
	return s.All.FailedRun >= suspectRun && s.All.FailureAge.Duration() < trialPause || s.Zone.FailedRun >= suspectRun && s.Zone.FailureAge.Duration() < trialPause
}

// IsEjected reports whether the endpoint is ejected.
func (m *Member) IsEjected() bool {
	return m.isEjected
}

func (m *Member) current(now time.Time) outcometracker.Sums {
	d := now.Sub(m.at)
	return outcometracker.Sums{Zone: m.sums.Zone.After(d), All: m.sums.All.After(d)}
}

// Offer reports whether an ejected endpoint may be considered for a request of this host, which may then query it. It
// limits how often it is.
func (m *Member) Offer(now time.Time) bool {
	if now.Before(m.nextOffer) || !isTrialDue(m.view(m.current(now)), 0) {
		return false
	}
	m.nextOffer = now.Add(offerInterval)
	return true
}

// AllowsTrial reports whether an ejected endpoint may get a request while inFlight requests of all hosts are there.
func (m *Member) AllowsTrial(inFlight int, isRepeatable bool, now time.Time) bool {
	if inFlight > 0 {
		return false
	}
	c := m.view(m.current(now))
	return isTrialDue(c, repeatableWait) || isRepeatable && isTrialDue(c, 0)
}

// isTrialDue reports whether an ejected endpoint may get the next request, at the earliest after an additional wait.
func isTrialDue(c outcometracker.Counts, wait time.Duration) bool {
	pause := min(maxTrialPause, max(trialPause, time.Duration(c.FailedRun)*trialPauseGrowth))
	return c.FailureAge.Duration() >= pause+wait
}

// view returns the counts that led to the ejection.
func (m *Member) view(s outcometracker.Sums) outcometracker.Counts {
	if m.isByZone {
		return s.Zone
	}
	return s.All
}

// Change is the ejection or the readmission of an endpoint.
type Change struct {
	Member    *Member
	IsEjected bool
	// FailureRate is the failure rate of the endpoint, and MeanRate the mean of the others of its pool.
	FailureRate, MeanRate float64
}

// Ejector decides for one pool. Set OnChange before use; it must not call the ejector. It is not safe for concurrent use.
type Ejector struct {
	OnChange func(c Change)

	members []*Member
}

// SetMembers replaces the endpoints of the pool.
func (j *Ejector) SetMembers(members []*Member) {
	j.members = members
	for _, m := range members {
		if j.ejected() <= j.maxEjected() {
			return
		}
		if m.isEjected {
			j.set(m, false, 0, 0)
		}
	}
}

// Record records an outcome that this host has observed, of a request that was sent at a time.
func (j *Ejector) Record(m *Member, sentAt time.Time, isFailure bool) {
	now := time.Now()
	var served, failed uint32 = 1, 0
	if isFailure {
		served, failed = 0, 1
	} else if sentAt.After(m.servedSentAt) {
		m.servedSentAt = sentAt
	}
	s, age := m.current(now), outcometracker.NewMilliseconds(now.Sub(sentAt))
	took := served * uint32(age)
	m.sums = outcometracker.Sums{Zone: s.Zone.Add(served, failed, age, took), All: s.All.Add(served, failed, age, took)}
	m.local.ServedMs += took
	m.at = now
	m.local.Served += served
	m.local.Failed += failed
	j.decide(m, m.sums, now)
}

// SetSums records the outcomes that all hosts have observed.
func (j *Ejector) SetSums(m *Member, s outcometracker.Sums) {
	m.sums, m.at = s, time.Now()
	j.decide(m, s, m.at)
}

func (j *Ejector) ejected() int {
	n := 0
	for _, m := range j.members {
		if m.isEjected {
			n++
		}
	}
	return n
}

func (j *Ejector) maxEjected() int {
	n := int(maxEjectedShare * float64(len(j.members)))
	if n == 0 && len(j.members) >= minPoolSize {
		return 1
	}
	return n
}

func (j *Ejector) set(m *Member, isEjected bool, rate, mean float64) {
	m.isEjected, m.failingSince = isEjected, time.Time{}
	if j.OnChange != nil {
		j.OnChange(Change{Member: m, IsEjected: isEjected, FailureRate: rate, MeanRate: mean})
	}
}

// decide ejects or readmits an endpoint whose counts have changed.
func (j *Ejector) decide(m *Member, s outcometracker.Sums, now time.Time) {
	if m.isEjected {
		c := m.view(s)
		o := j.others(m, m.isByZone, recentTime, now)
		hasRecovered := c.ServedRun >= readmissionRun || c.Requests() < forgottenRequests
		if hasRecovered || o.requests >= minOtherRequests && c.FailureRate() < rateFactor*o.meanRate {
			j.set(m, false, c.FailureRate(), o.meanRate)
		}
		return
	}
	// What the callers of this zone see applies to them. The requests of other zones count if none has been served since, or
	// if the endpoint has served none for this zone.
	isByZone := j.isOutlier(m, s.Zone, true, now)
	if !isByZone && (s.All.FailedRun < minRun && s.Zone.Served >= 1 || !j.isOutlier(m, s.All, false, now)) {
		return
	}
	if j.ejected() >= j.maxEjected() {
		return
	}
	m.isByZone = isByZone
	j.set(m, true, m.view(s).FailureRate(), j.others(m, isByZone, recentTime, now).meanRate)
}

// isOutlier reports whether an endpoint fails far more often than the others of the pool.
func (j *Ejector) isOutlier(m *Member, c outcometracker.Counts, isByZone bool, now time.Time) bool {
	isRun := c.FailedRun >= minRun
	isFailing := float64(c.Failed) >= minDeviations && c.FailureRate() >= minRate
	if !isFailing {
		m.failingSince = time.Time{}
	}
	if !isRun && !isFailing {
		return false // without a look at the others
	}
	// Requests that were sent before the failures began say nothing: if the whole pool fails, they are still served for a while.
	// The first half of the run is left out, since it may have begun by chance before that.
	return isRun && j.isUnlikelyRun(c, j.others(m, isByZone, c.RunAge.Duration()/2, now)) || isFailing && j.isLastingRate(m, c, j.others(m, isByZone, recentTime, now), now)
}

// isUnlikelyRun reports whether the others do not fail, and would hardly fail as many requests in sequence.
func (j *Ejector) isUnlikelyRun(c outcometracker.Counts, o otherOutcomes) bool {
	probability := o.expectedRate(c)
	if o.working == 0 || o.requests < minOtherRequests || c.FailureRate() < rateFactor*probability {
		return false
	}
	return float64(c.FailedRun)*math.Log(probability) <= math.Log(runProbability)
}

// isLastingRate reports whether a failure rate has been far above that of the others for some time.
func (j *Ejector) isLastingRate(m *Member, c outcometracker.Counts, o otherOutcomes, now time.Time) bool {
	mean := o.expectedRate(c)
	n := c.Requests()
	// The number of failures that the others predict is as uncertain as they have few requests.
	variance := n*mean*(1-mean)*(1+n/max(1, o.requests)) + 1
	deviations := (float64(c.Failed) - n*mean) / math.Sqrt(variance)
	if o.working == 0 || o.requests < minOtherRequests || c.FailureRate() < rateFactor*mean || deviations < minDeviations {
		m.failingSince = time.Time{}
		return false
	}
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	return now.Sub(m.failingSince) >= recentTime
}

// otherOutcomes holds what is known of the endpoints of a pool in use but one.
type otherOutcomes struct {
	// meanRate is their mean failure rate, and requests the decayed number of their requests. Each endpoint has the same
	// weight, because one that fails at once gets more requests.
	meanRate, requests float64
	// working is the number of endpoints that have served a request that was sent recently, and failing that of those whose
	// last recent requests failed.
	working, failing int
}

// expectedRate returns the failure rate to compare an endpoint with. It includes the failures of the endpoint itself and half a
// failure of another one, since the others may show few by chance.
func (o otherOutcomes) expectedRate(c outcometracker.Counts) float64 {
	pooled := (o.meanRate*o.requests + float64(c.Failed)) / max(1, o.requests+c.Requests())
	const added = 0.5
	failing := (float64(o.failing) + added) / (float64(o.working+o.failing) + added)
	return min(maxExpectedRate, max(minMeanRate, pooled, failing))
}

// others returns what is known of the other endpoints. Outcomes are recent up to the given age.
func (j *Ejector) others(but *Member, isByZone bool, recent time.Duration, now time.Time) otherOutcomes {
	var out otherOutcomes
	n := 0
	for _, m := range j.members {
		if m == but || m.isEjected {
			continue
		}
		c := m.sums.All
		if isByZone {
			c = m.sums.Zone
		}
		c = c.After(now.Sub(m.at))
		if c.Requests() < forgottenRequests {
			continue
		}
		out.meanRate += c.FailureRate()
		out.requests += c.Requests()
		n++
		switch {
		case c.FailedRun > 0 && c.FailureAge.Duration() <= max(recent, recentTime):
			out.failing++
		case c.Served > 0 && c.ServedAge.Duration() < recent:
			out.working++
		}
	}
	if n > 0 {
		out.meanRate /= float64(n)
	}
	return out
}
