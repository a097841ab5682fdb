package fold

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// Publish appends a change and reads it back. It returns the revision once the change is part of
// the fold. The error is a [fault.Error]: with [fault.LostRace] nothing of the change is in force
// and never will be, with [fault.PublishUnknown] the log could not be read back in time.
//
// An append whose answer was lost is searched for by its nonce and repeated only after the whole
// log was read without finding it. If both arrive, the fold applies only one, since each replaces
// the same revision.
func Publish(ctx context.Context, l hollowgrade.Log, s State, c Change) (revision int64, err error) {
	b, err := c.Encode()
	if err != nil {
		return 0, err
	}
	_, appendErr := l.Append(ctx, b)
	attempt := func() (int64, error) {
		r, err := readBack(ctx, l, s, c)
		if errors.Is(err, errNotYet) {
			// The end of the log was read and the record is not there. It may still arrive, in
			// which case the fold applies one of the two.
			_, appendErr = l.Append(ctx, b)
		}
		return r, err
	}
	revision, err = backoff.Retry(ctx, attempt,
		backoff.WithBackOff(&backoff.ExponentialBackOff{
			InitialInterval:     50 * time.Millisecond,
			RandomizationFactor: 0.5,
			Multiplier:          2,
			MaxInterval:         2 * time.Second,
		}), backoff.WithMaxElapsedTime(0))
	var f *fault.Error
	switch {
	case err == nil, errors.As(err, &f):
		return revision, err
	default:
		return 0, fault.New(fault.PublishUnknown, "read back: %v (append: %v)", err, appendErr)
	}
}

// errNotYet means that the record has not appeared in the log.
var errNotYet = errors.New("the record is not in the log yet")

func readBack(ctx context.Context, l hollowgrade.Log, s State, c Change) (int64, error) {
	for {
		p, err := l.Read(ctx, s.Next(), maxRecordsPerRead)
		if errors.Is(err, hollowgrade.ErrTrimmed) {
			return 0, backoff.Permanent(err)
		}
		if err != nil {
			return 0, err
		}
		for _, r := range p.Records {
			next, err := s.Apply(r)
			if isOwnRecord(r, c) {
				return publishResult(r, err)
			}
			s = next
		}
		if len(p.Records) == 0 || s.Next() >= p.Next {
			break
		}
	}
	// If another change has replaced the revision already, this one is lost wherever it appears.
	if cur, _ := s.Item(c.Kind, c.Name); cur.Revision != c.Replaces {
		return 0, backoff.Permanent(lostRaceError(c, cur.Revision))
	}
	return 0, errNotYet
}

func isOwnRecord(r hollowgrade.Record, c Change) bool {
	e, err := decode(r.Body)
	return err == nil && e.Change != nil && e.Change.Nonce == c.Nonce
}

func publishResult(r hollowgrade.Record, err error) (int64, error) {
	if err == nil {
		return r.Offset + 1, nil
	}
	return 0, backoff.Permanent(fault.New(fault.LostRace, "the record at offset %d was passed over: %v", r.Offset, err))
}

func lostRaceError(c Change, revision int64) error {
	return fault.New(fault.LostRace, "%s %s is at revision %d, this change replaces %d", c.Kind, c.Name, revision, c.Replaces)
}

// Load reads the log once from its beginning and returns the state.
func Load(ctx context.Context, l hollowgrade.Log) (s State, err error) {
	f := NewFollower(l, WithLogger(log.New(io.Discard)))
	if err = f.Update(ctx); err != nil {
		return s, fmt.Errorf("load configuration: %w", err)
	}
	return f.State(), nil
}
