// Package setting defines the settings of the long-running roles, their allowed values, and the
// checks of a settings file. One struct for each role serves the TOML file, the flags and the
// environment; its tags are the documentation that the command line and the pages print.
package setting

import (
	"fmt"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Process holds the settings that all roles have.
type Process struct {
	Box            string        `help:"Name of this box, unique in the fleet." required:"" group:"place"`
	Hall           string        `help:"Data hall that the box stands in." required:"" group:"place"`
	Region         string        `help:"Region that the data hall belongs to." default:"local" group:"place"`
	Operators      string        `help:"Address on which operators' tools read metrics, status, readiness and the report." default:"127.0.0.1:0" group:"listen"`
	MaxConnections int           `help:"Connections that are open at once on the main listener; more have to wait." default:"16384" min:"1" group:"limits"`
	MaxDescriptors int           `help:"Descriptors that the process may have open; 0 for the limit that it runs under. Connections of the main listener take at most four fifths of them, whatever max_connections allows, so that upstreams can be reached." default:"0" min:"0" group:"limits"`
	MemoryMB       int           `name:"memory-mb" help:"Memory that the process may use, in MB; 0 for that of the machine. What callers and peers may make it hold are shares of it." default:"0" min:"0" group:"limits"`
	DrainTimeout   time.Duration `help:"How long a planned stop waits for open requests." default:"10m" min:"0s" group:"limits"`
	Verbosity      string        `help:"Least level of what is logged." default:"info" enum:"debug,info,warn,error" group:"logs"`
}

// Common holds the settings of roles that work with agents.
type Common struct {
	Process
	PlatformLog   string        `help:"Base URL of the platform's log." required:"" group:"platform"`
	PlatformList  string        `help:"Base URL of the platform's list of boxes; empty if the agents are named in the settings." group:"platform"`
	PlatformStore string        `help:"Base URL of the platform's weight store; empty if models are never loaded for events." group:"platform"`
	Agents        []string      `help:"Peer addresses of agents, beside those on the platform's list." group:"platform"`
	LogPoll       time.Duration `help:"Time between two reads of the platform's log." default:"1s" min:"50ms" max:"4s" group:"platform"`
	LogRetention  time.Duration `help:"How long the platform's log keeps records; the configuration is written anew when half of it has passed. 0 if it keeps them for ever." default:"0s" min:"0s" group:"platform"`
	TLSCert       string        `name:"tls-cert" help:"File with the certificate of this box, for peers. It is read again when it changes." group:"peers"`
	TLSKey        string        `name:"tls-key" help:"File with the key of the certificate." group:"peers"`
	TLSCA         string        `name:"tls-ca" help:"File with the certificates of the authorities that peers must be signed by." group:"peers"`
	Insecure      bool          `help:"Talk to peers without TLS beyond loopback." group:"peers"`
}

// Entry holds the settings of the role entry.
type Entry struct {
	Common
	Callers       string        `help:"Address on which callers are served." default:"127.0.0.1:8080" group:"listen"`
	MaxBodyBytes  int64         `help:"Largest body of a request, in bytes." default:"8388608" min:"1024" max:"16777216" group:"limits"`
	MaxHeadBytes  int           `help:"Largest head of a request, in bytes." default:"65536" min:"4096" max:"1048576" group:"limits"`
	BodyTimeout   time.Duration `help:"How long a caller may take to send its body." default:"30s" min:"100ms" group:"limits"`
	HeaderTimeout time.Duration `help:"How long a caller may take to send its headers." default:"5s" min:"100ms" group:"limits"`
	MaxRequests   int           `help:"Requests open at once." default:"8192" min:"1" group:"limits"`
	MaxAttempts   int           `help:"Attempts at one request." default:"4" min:"1" max:"10" group:"retries"`
	RetryRatio    float64       `help:"Retries for each first attempt in the long run, for each organisation and each upstream." default:"0.1" min:"0" max:"1" group:"retries"`
	RetrySaved    float64       `help:"Retries that can be saved up." default:"10" min:"1" group:"retries"`
	Linger        time.Duration `help:"How long a planned stop goes on serving, until the balancer leads elsewhere." default:"5s" min:"0s" group:"limits"`
	Placement     string        `help:"How an upstream is picked: by the predicted time to first token, or as the baselines do." default:"quickest" enum:"quickest,least_loaded,round_robin" group:"decisions"`
}

// Agent holds the settings of the role agent.
type Agent struct {
	Common
	Peers         string        `help:"Address on which entries are served." default:"127.0.0.1:9090" group:"listen"`
	Engine        string        `help:"Base URL of the model engine beside this agent." group:"upstream"`
	Models        []string      `help:"Models that the engine serves." group:"upstream"`
	Service       string        `help:"Base URL of the plain service beside this agent." group:"upstream"`
	ServiceName   string        `help:"Name under which callers call the service." group:"upstream"`
	Order         string        `help:"Order of work: by class, fair share and slack, or first in first out as the baseline." default:"fair" enum:"fair,fifo" group:"decisions"`
	MaxRunning    int           `help:"Requests at the upstream at once." default:"64" min:"1" group:"limits"`
	MaxQueued     int           `help:"Requests in the queue." default:"2048" min:"1" group:"limits"`
	MaxBodyBytes  int64         `help:"Largest prompt or body, in bytes." default:"16777216" min:"1024" max:"67108864" group:"limits"`
	PrefillWindow int           `help:"Prompt tokens that are given to the engine ahead of its work." default:"8192" min:"256" group:"decisions"`
	Piece         int           `help:"Tokens of a long prompt that are prefilled in one go; 0 to give prompts over whole." default:"4096" min:"0" group:"decisions"`
	LongTokens    int           `help:"A request that holds more tokens than this is long." default:"100000" min:"1" group:"decisions"`
	LongShare     float64       `help:"Part of the engine's memory that long requests may hold together." default:"0.75" min:"0.05" max:"1" group:"decisions"`
	Patience      time.Duration `help:"A request that has waited this long is not passed over any more." default:"20s" min:"10ms" group:"decisions"`
	Heartbeat     time.Duration `help:"Longest time between two reports to an entry." default:"500ms" min:"20ms" max:"1s" group:"limits"`
	Linger        time.Duration `help:"How long a planned stop goes on answering entries that have not heard of it." default:"2s" min:"0s" group:"limits"`
	Sweep         time.Duration `help:"Time between two comparisons of the memory ledger with the engine." default:"1s" min:"50ms" group:"limits"`
	KeyWindow     time.Duration `help:"How long an idempotency key is remembered after its run; after a crash its keeper's successor answers that long with unknown." default:"15m" min:"1s" group:"keys"`
	KeyLease      time.Duration `help:"How long a keeper of keys goes on without having read the log." default:"2m" min:"1s" group:"keys"`
	KeyGrace      time.Duration `help:"How long a keeper of keys must be off the list before another takes its place." default:"10s" min:"100ms" group:"keys"`
}

// validate checks the constraints that the tags don't express.
func (c Common) validate() error {
	if (c.TLSCert == "") != (c.TLSKey == "") || (c.TLSCert == "") != (c.TLSCA == "") {
		return fmt.Errorf("tls_cert, tls_key and tls_ca must be set together")
	}
	return nil
}

// Validate checks the constraints that the tags don't express. Kong calls it.
func (e *Entry) Validate() error {
	if err := e.validate(); err != nil {
		return err
	}
	if e.PlatformList == "" && len(e.Agents) == 0 {
		return fmt.Errorf("platform_list or agents must be set: without them there is no agent to talk to")
	}
	return checkBounds(e)
}

// pollsPerLease is the minimum number of log reads in the lease of a keeper of keys, so that a few
// missed reads don't let it expire.
const pollsPerLease = 4

// Validate checks the constraints that the tags don't express. Kong calls it.
func (a *Agent) Validate() error {
	if err := a.validate(); err != nil {
		return err
	}
	if (a.Engine == "") == (a.Service == "") {
		return fmt.Errorf("either engine or service must be set")
	}
	if a.Engine != "" && len(a.Models) == 0 {
		return fmt.Errorf("models must name what the engine serves")
	}
	if a.KeyLease < pollsPerLease*a.LogPoll {
		return fmt.Errorf("key_lease is %s, it must be at least %d times log_poll (%s), or it lapses between two reads", a.KeyLease, pollsPerLease, a.LogPoll)
	}
	if a.Service != "" && a.ServiceName == "" {
		return fmt.Errorf("service_name must be set with service")
	}
	return checkBounds(a)
}

// Secure reports whether connections to peers use TLS.
func (c Common) Secure() bool {
	return c.TLSCert != ""
}

// Roles returns an empty settings struct for each role.
func Roles() map[hollowgrade.Role]any {
	return map[hollowgrade.Role]any{
		hollowgrade.EntryRole:   &Entry{},
		hollowgrade.AgentRole:   &Agent{},
		hollowgrade.GatewayRole: &Gateway{},
	}
}

// DefaultEntry returns the settings of an entry with all defaults.
func DefaultEntry() (e Entry) {
	setDefaults(&e)
	return e
}

// DefaultAgent returns the settings of an agent with all defaults.
func DefaultAgent() (a Agent) {
	setDefaults(&a)
	return a
}
