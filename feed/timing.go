package feed

import "time"

const (
	// nominalViewAge is the bound on the age of views for which the nominal times below are made.
	// With them a change is known everywhere well within the required two seconds.
	nominalViewAge = 4200 * time.Millisecond
	// The shares of that bound; [Timing.maxAge] adds them up.
	nominalReadWait           = 1500 * time.Millisecond
	nominalAnswerGrace        = 200 * time.Millisecond
	nominalPollInterval       = 400 * time.Millisecond
	nominalUrgentPollInterval = 100 * time.Millisecond
	nominalBackupDelay        = 125 * time.Millisecond
	// maxShrink is the factor by which these times may shrink at the most; below, polls would
	// exceed ten a second.
	maxShrink = 4
	// MinViewAge is the smallest supported bound on the age of views.
	MinViewAge = nominalViewAge / maxShrink
	// clockDriftDivisor bounds how much faster the store's monotonic clock may run than that of a
	// process, as one part in so many. A read that waited its whole time shows what was there at
	// the end of the wait by the store's clock.
	clockDriftDivisor = 16
)

// Timing divides the time for which a view may be trusted. All parts derive from one bound, so that
// their sum keeps it.
type Timing struct {
	ReadWait           time.Duration // how long one read waits at the store for a record
	AnswerGrace        time.Duration // time beyond the wait after which the store is taken not to serve a reader
	PollInterval       time.Duration // between polls while a served process replies
	UrgentPollInterval time.Duration // between polls while none does
	BackupDelay        time.Duration // between two groups of backups
}

// NewTiming returns the times that keep views no older than the bound, as long as the store serves
// some process. Below [MinViewAge] they do not shrink further.
func NewTiming(bound time.Duration) Timing {
	whole := float64(max(bound, MinViewAge)) / float64(nominalViewAge)
	part := min(whole, 1)
	share := func(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }
	return Timing{
		ReadWait:           share(nominalReadWait, whole),
		AnswerGrace:        share(nominalAnswerGrace, part),
		PollInterval:       share(nominalPollInterval, part),
		UrgentPollInterval: share(nominalUrgentPollInterval, part),
		BackupDelay:        share(nominalBackupDelay, part),
	}
}

// answerDue is the age of a view, read with the given wait, when its next answer is due.
func (t Timing) answerDue(wait time.Duration) time.Duration {
	return wait + wait/clockDriftDivisor + t.AnswerGrace
}

// silenceGrace is the time beyond the wait after which a new connection to the store is tried: it can answer
// before the reader is taken not to be served.
func (t Timing) silenceGrace() time.Duration {
	return t.AnswerGrace / 2
}

// staleAge is the age from which a view, read by others with the given wait, is older than readers
// that the store serves let it get.
func (t Timing) staleAge(wait time.Duration) time.Duration {
	return t.answerDue(wait) + 2*t.AnswerGrace + t.PollInterval
}

// maxAge is the largest age of a view, read with the given wait, while the store serves neither the
// readers nor the backups of the groups before the given one. It is the sum of these times: a
// reader's answer becomes due and then overdue, the reader is polled and reports that, a due backup
// reads the store and is polled. At 4.2 s that is 2.59 s if only the readers are not served, and 2.97 s if
// all but three processes are not. Waiting until each view is stale would take 3.8 to 5.0 s.
func (t Timing) maxAge(wait time.Duration, group int) time.Duration {
	return t.answerDue(wait) + t.AnswerGrace + t.PollInterval + 2*t.UrgentPollInterval + time.Duration(group)*t.BackupDelay
}

// maxForwardedAge is the same for a process that polls sources which forward: these take the readers
// for served until their last served reply is too old.
func (t Timing) maxForwardedAge(wait time.Duration, group int) time.Duration {
	return t.maxAge(wait, group) + t.maxReplyGap()
}

// maxReplyGap is how long a process goes without a served reply before it polls all readers. It
// polls them at once if all of a round replied that they are not served.
func (t Timing) maxReplyGap() time.Duration {
	return t.PollInterval + t.UrgentPollInterval/2
}

// statusTTL is how long a peer's status is valid; each reader is polled about that often.
func (t Timing) statusTTL() time.Duration {
	return 4 * t.PollInterval
}
