package setting

import (
	"cmp"
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hollowgrade/hollowgrade/feed"
)

// Gateway holds the settings of the role gateway.
type Gateway struct {
	Process
	Callers            string        `help:"Address on which callers are served." required:"" group:"listen"`
	Readiness          string        `help:"Address on which the platform's balancer asks whether the box is ready." required:"" group:"listen"`
	Peers              string        `help:"Address on which other gateways ask what this one knows of the store; empty to serve none." group:"listen"`
	Announce           string        `help:"Peer address that other gateways are told, where they reach this one at another than it listens on; empty for the same." group:"listen"`
	Seeds              []string      `help:"Peer addresses of other gateways, to ask before the members are known. Some may be stale." group:"platform"`
	Store              string        `help:"Address of the platform's store, as host:port." required:"" group:"platform"`
	ConfigWait         time.Duration `help:"How long one read of the configuration waits at the store for a change; less where key_freshness asks for it. Each read has its price; keys admit nothing once the last one is key_freshness old." default:"1500ms" min:"100ms" max:"10s" group:"platform"`
	FleetWait          time.Duration `help:"The same for the registry of upstreams." default:"3s" min:"100ms" max:"10s" group:"platform"`
	MembersWait        time.Duration `help:"The same for the list of gateways." default:"20s" min:"100ms" max:"30s" group:"platform"`
	KeyFreshness       time.Duration `help:"Longest time for which a key is taken as good without word of the configuration: a key that was revoked that long ago admits nothing any more." default:"5s" min:"1s" group:"promises"`
	KeyOutage          time.Duration `help:"Further time for which a key that was good stays good while the configuration cannot be confirmed. 0 where a revoked key has to end on time whatever the store does; more lets callers be served while the store is away, at the risk that a key which is revoked meanwhile is served as well." default:"0s" min:"0s" max:"24h" group:"promises"`
	Freshness          time.Duration `help:"Longest time for which a route or key that is missing is taken as gone rather than as not yet known." default:"2s" min:"100ms" group:"promises"`
	LeaveWithin        time.Duration `help:"Longest time within which an upstream that is listed as leaving must get no more calls from any gateway. Readers of the registry read its changes eight times in it." default:"2s" min:"1s" max:"1m" group:"promises"`
	RetryRatio         float64       `help:"Repeats for each first send to a service, over all gateways and each window." default:"0.2" min:"0" max:"1" group:"retries"`
	RetrySlack         float64       `help:"Further repeats to a service in each window, over all gateways." default:"100" min:"0" group:"retries"`
	RetryWindow        time.Duration `help:"Length of the window that repeats are counted in." default:"10s" min:"1s" group:"retries"`
	Grace              time.Duration `help:"How long a planned stop may take in all; the platform kills the process after it." default:"8s" min:"1s" group:"limits"`
	Linger             time.Duration `help:"How long a planned stop goes on taking connections, until the balancer leads elsewhere. It asks each second and believes the second miss." default:"2700ms" min:"0s" group:"limits"`
	ConfigMaxBytes     int           `help:"Size of the largest configuration that is taken; a larger one leaves the one before in force, with a line in the log. Twice what the design counts with." default:"8388608" min:"65536" group:"limits"`
	AnswerHeadMaxBytes int           `help:"Size of the largest head of an upstream's or the store's answer, with all interim ones before it. One that is larger is ended there, and the call goes on at another upstream." default:"32768" min:"4096" group:"limits"`
	FailureMaxBytes    int           `help:"Size of the largest body of an upstream's answer that is no success. One that is larger is ended there, and the call goes on at another upstream." default:"65536" min:"1024" group:"limits"`
	LongWait           bool          `help:"Whether long prompts wait at the gateways until the engines have time for them, in an order that all gateways share, and are refused when there is no time for all of them. Otherwise they are sent at once, or refused by what other calls would lose." default:"false" group:"limits"`
	CallerStall        time.Duration `help:"How long a caller may read nothing of its answer before it is cut off, so that it keeps no upstream busy. One that reads slowly is waited for." default:"1500ms" min:"100ms" max:"1m" group:"limits"`
	LinkMbps           float64       `name:"link-mbps" help:"Rate of the box's link, 0 if not known. Gateways with wide links read the store for the others, and send large values to more of them at a time." default:"0" min:"0" group:"limits"`
}

// freshnessMargin is the difference between key_freshness and the maximum age of a view: 300 ms
// that the core reserves for clock differences, and 500 ms for network delay and for gateways that
// are short of processor time.
const freshnessMargin = 800 * time.Millisecond

// freshnessKey is the key of the setting that freshnessMargin is subtracted from.
const freshnessKey = "key_freshness"

// Timing returns the timing of reading and forwarding the configuration, which is derived from
// key_freshness.
func (g Gateway) Timing() feed.Timing {
	return feed.NewTiming(g.KeyFreshness - freshnessMargin)
}

// ReadWait returns how long one read of the configuration waits: config_wait, or less where
// key_freshness requires it.
func (g Gateway) ReadWait() time.Duration {
	return min(g.ConfigWait, g.Timing().ReadWait)
}

// readsPerLeave is how many reads of the registry fit into LeaveWithin. The rest of that time is for
// the way from the reader to each gateway.
const readsPerLeave = 8

// RegistryInterval returns the least time between two reads of the registry that return changes.
func (g Gateway) RegistryInterval() time.Duration {
	return g.LeaveWithin / readsPerLeave
}

// CheckFreshness returns an error with the smallest supported key_freshness if this one is smaller:
// keys would expire now and then while the store rejects some gateways. A gateway runs with it all
// the same.
func (g Gateway) CheckFreshness() error {
	if minimum := feed.MinViewAge + freshnessMargin; g.KeyFreshness < minimum {
		return fmt.Errorf("%s is %s, the smallest that can be held is %s", freshnessKey, g.KeyFreshness, minimum)
	}
	return nil
}

// PeerAddress returns the address at which other gateways reach this one; empty if it serves no
// peers.
func (g Gateway) PeerAddress() string {
	if g.Peers == "" {
		return ""
	}
	return cmp.Or(g.Announce, g.Peers)
}

// KeyAge returns the maximum age of the configuration at which its keys are accepted.
func (g Gateway) KeyAge() time.Duration {
	return g.KeyFreshness + g.KeyOutage
}

// Validate checks the constraints that the tags don't express. Kong calls it.
func (g *Gateway) Validate() error {
	if g.Linger >= g.Grace {
		return fmt.Errorf("linger is %s, it must be shorter than grace (%s)", g.Linger, g.Grace)
	}
	return checkBounds(g)
}

// ParseGateway returns the settings that a gateway would start with now, given its arguments: those
// of the command line, of the environment, and of the settings file that they name, in this order of
// precedence, and else the defaults. Errors of the file are like those of [Read].
func ParseGateway(args []string) (g Gateway, err error) {
	var c struct {
		Gateway struct {
			Config Flag
			Gateway
		} `cmd:""`
	}
	k, err := kong.New(&c, kong.DefaultEnvars(EnvPrefix))
	if err != nil {
		return g, err
	}
	if _, err = k.Parse(args); err != nil {
		return g, err
	}
	return c.Gateway.Gateway, nil
}

// DefaultGateway returns the settings of a gateway with all defaults.
func DefaultGateway() (g Gateway) {
	setDefaults(&g)
	return g
}
