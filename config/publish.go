package config

import (
	"context"
	"encoding/json"
	"fmt"
	"os/user"

	"github.com/google/uuid"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// Publish checks an item, appends it to the log and reads it back. A nil body removes the item. It
// returns the revision at which the item is in force.
//
// Replaces is the revision that the operator has seen, or [CurrentRevision] for the one that is in
// the log now.
func Publish(ctx context.Context, l hollowgrade.Log, kind, name string, body any, replaces int64) (revision int64, err error) {
	defer errs.Annotate(&err, "publish %s %s", kind, name)
	if err = check(kind, name, body); err != nil {
		return 0, err
	}
	s, err := fold.Load(ctx, l)
	if err != nil {
		return 0, fault.New(fault.LogAway, "nothing was published: %v", err)
	}
	i, _ := s.Item(kind, name)
	if replaces == CurrentRevision {
		replaces = i.Revision
	}
	if replaces != i.Revision {
		return 0, fault.New(fault.LostRace, "%s %s is at revision %d, this change replaces %d", kind, name, i.Revision, replaces)
	}
	c, err := fold.NewChange(kind, name, replaces, body, uuid.NewString(), author())
	if err != nil {
		return 0, err
	}
	return fold.Publish(ctx, l, s, c)
}

// CurrentRevision stands for the revision that is in the log when a change is made.
const CurrentRevision = -1

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// check rejects an item that no box could use, before it is appended to the log.
func check(kind, name string, body any) error {
	if name == "" {
		return fmt.Errorf("a name is needed")
	}
	if body == nil {
		return nil
	}
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c := newConfig(0)
	if err = c.add(fold.Item{Kind: kind, Name: name, Body: b}, nil); err != nil {
		return err
	}
	return c.checkItem(kind, name)
}

const digestHexDigits = 64 // hex digits of a SHA-256

// checkItem checks the constraints that the types don't express.
func (c *Config) checkItem(kind, name string) error {
	switch kind {
	case OrganisationKind:
		for _, k := range c.Organisations[name].Keys {
			if len(k) != digestHexDigits {
				return fmt.Errorf("keys must be hex SHA-256 digests of %d digits, see 'hollowgrade config digest'", digestHexDigits)
			}
		}
	case EventKind:
		if e := c.Events[name]; !e.Ends.After(e.Starts) {
			return fmt.Errorf("the event ends at %s, before it starts at %s", e.Ends, e.Starts)
		}
	case ObjectiveKind:
		if o := c.Objectives[name]; o.Share <= 0 || o.Share >= 1 {
			return fmt.Errorf("share is %v, it must be above 0 and below 1", o.Share)
		}
	}
	return nil
}
