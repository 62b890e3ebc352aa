// Package aubsettings defines the settings of every role, their defaults, the
// checks of a settings file and the generated reference page.
package aubsettings

// Settings holds all settings of a process. In the tags, doc is the text of the
// reference page, allowed the set of values of a choice, separated by spaces, and
// required marks a setting that must not be empty.
type Settings struct {
	Name       string            `yaml:"name" doc:"Name of the process, unique in the site." required:"true"`
	Zone       string            `yaml:"zone" doc:"Availability zone of the process." required:"true"`
	Regions    map[string]string `yaml:"regions" doc:"Availability zones of the deployment, each with its region. Empty means that the zones of registered backend servers are known."`
	SecretFile string            `yaml:"secret_file" doc:"File with the secret that the site's processes share; it authenticates datagrams."`
	Log        Log               `yaml:"log" doc:"Logging."`
	Machine    Machine           `yaml:"machine" doc:"What the process may use of its machine; bounds what callers make it hold."`
	Internal   Internal          `yaml:"internal" doc:"Listener for the site's own processes (gRPC)."`
	Membership Membership        `yaml:"membership" doc:"Membership and load datagrams (UDP)."`
	Control    Control           `yaml:"control" doc:"Replicated state."`
	Caller     Caller            `yaml:"caller" doc:"Listener for callers (HTTP)."`
	Registry   Registry          `yaml:"registry" doc:"Listener for backend servers and operators of the users' platform (HTTP)."`
	Admin      Admin             `yaml:"admin" doc:"Listener for operators (HTTP)."`
	Platform   Platform          `yaml:"platform" doc:"Listener for health checks and metrics (HTTP)."`
	Limits     Limits            `yaml:"limits" doc:"Token limits of workspaces."`
	Queue      Queue             `yaml:"queue" doc:"Admission and fair queueing."`
	Routing    Routing           `yaml:"routing" doc:"Choice of the backend server."`
	Admission  Admission         `yaml:"admission" doc:"Admission of requests by their objectives at relays."`
	Placement  Placement         `yaml:"placement" doc:"Placement of models and adapters."`
	Agent      Agent             `yaml:"agent" doc:"Agent and the backend server beside it."`
	Standin    Standin           `yaml:"standin" doc:"Stand-in engine, plain service or weight store, for tests and measurements."`
	Objectives Objectives        `yaml:"objectives" doc:"Service-level objectives for the burn report."`
	Shutdown   Shutdown          `yaml:"shutdown" doc:"Graceful shutdown."`
}

// Log holds the settings of logging.
type Log struct {
	Format Choice `yaml:"format" allowed:"json console" doc:"Format of log lines."`
	Level  Choice `yaml:"level" allowed:"debug info warn error" doc:"Lowest level that is written."`
}

// Machine holds what the process may use.
type Machine struct {
	Memory      Size `yaml:"memory" doc:"Memory that the process uses at most of that of the machine; 0B means all. A fifth of it is for heads and bodies of requests, a tenth for buffered responses, two fifths for callers' connections."`
	Descriptors int  `yaml:"descriptors" doc:"Descriptors that the process uses at most of its limit; 0 means all. Callers' connections get half of those that files leave."`
}

// TLS holds the settings of a listener's certificates.
type TLS struct {
	CertFile string `yaml:"cert_file" doc:"File with the PEM certificate chain; TLS is off when empty. The file is reloaded when it changes."`
	KeyFile  string `yaml:"key_file" doc:"File with the PEM private key of the certificate."`
	CAFile   string `yaml:"ca_file" doc:"File with the PEM certificates of the authorities that sign peers; when set, peers must present a certificate."`
}

// Internal holds the settings of the listener for the site's own processes.
type Internal struct {
	Listen    Address `yaml:"listen" doc:"IP address and port that the process listens on."`
	Advertise Address `yaml:"advertise" doc:"IP address and port under which other processes reach it; those of listen when empty."`
	TLS       TLS     `yaml:"tls" doc:"Certificates between the site's processes."`
}

// Address returns the address under which other processes reach the listener.
func (i Internal) Address() string {
	if i.Advertise != "" {
		return i.Advertise.String()
	}
	return i.Listen.String()
}

// Membership holds the settings of the membership datagrams.
type Membership struct {
	Listen   Address   `yaml:"listen" doc:"IP address and UDP port that the process listens on."`
	Seeds    []Address `yaml:"seeds" doc:"UDP addresses of the entry instances."`
	Interval Duration  `yaml:"interval" doc:"Time between two announcements."`
	Timeout  Duration  `yaml:"timeout" doc:"Time without an announcement after which a process counts as lost."`
	Budget   Size      `yaml:"budget" doc:"Maximum number of bytes that the process sends per second."`

	DirectPeers int `yaml:"direct_peers" doc:"Number of relays above which they exchange their loads between availability zones as sums; 0 means never."`
}

// Control holds the settings of the replicated state.
type Control struct {
	DataDir           string    `yaml:"data_dir" doc:"Data folder of the control replica; a process without one runs no replica."`
	Voters            []Peer    `yaml:"voters" doc:"Control replicas that form the site at the first start, including this one."`
	Seeds             []Address `yaml:"seeds" doc:"Addresses on the hosts of the control processes, of which only the host is used; the replicas there form the cluster at the first start. Control processes without a data folder there tell where the replicas are; if there are only such, the lowest one names the replicas that form the cluster."`
	Port              int       `yaml:"port" doc:"Internal port of every control process on the hosts of the seeds."`
	Bootstrap         bool      `yaml:"form" doc:"Form a new cluster with the seeds if no replica belongs to one yet."`
	FaultTolerance    int       `yaml:"losses" doc:"Number of control replicas whose simultaneous loss is tolerated; replicas join by themselves until twice as many plus one vote."`
	ReplaceAfter      Duration  `yaml:"silence" doc:"Time without contact after which a joining replica replaces a voter; with 0s only an operator replaces voters."`
	Addresses         []Address `yaml:"addresses" doc:"Internal addresses of the control replicas, for a process that runs none."`
	HeartbeatInterval Duration  `yaml:"heartbeat" doc:"Time between two heartbeats of the leader."`
	ElectionTimeout   Duration  `yaml:"election" doc:"Minimum time without a message from the leader before an election."`
}

// Peer identifies one control replica.
type Peer struct {
	Name    string  `yaml:"name" doc:"Name of the process."`
	Address Address `yaml:"address" doc:"Internal address of the process."`
}

// Caller holds the settings of the listener for callers.
type Caller struct {
	Listen         Address  `yaml:"listen" doc:"IP address and port for callers."`
	TLS            TLS      `yaml:"tls" doc:"Certificates for callers."`
	MaxBody        Size     `yaml:"max_body" doc:"Maximum size of a request body."`
	BodyTimeout    Duration `yaml:"body_timeout" doc:"Maximum time from the head of a request to the end of its body; at a relay the deadline of the request ends it as well."`
	RequestTimeout Duration `yaml:"request_timeout" doc:"Maximum duration of a request."`
	QueueTimeout   Duration `yaml:"queue_timeout" doc:"Maximum time that a request waits for a backend server."`
	WriteTimeout   Duration `yaml:"write_timeout" doc:"Maximum time that a caller may take to accept one part of a response. At a relay it applies only to configurations with deferrable routes, see admission.objective_spread, and is not below the pause objective of the route."`
	MaxUnread      Size     `yaml:"max_unread" doc:"Maximum number of bytes of responses in a relay that callers have not accepted; the slowest responses are ended first. It applies like write_timeout at a relay; 0B sets no bound."`
}

// Admin holds the settings of the listener for operators.
type Admin struct {
	Listen         Address `yaml:"listen" doc:"IP address and port for operators."`
	TLS            TLS     `yaml:"tls" doc:"Certificates for operators."`
	CredentialFile string  `yaml:"credential_file" doc:"File with the operators' bearer credential."`
}

// Registry holds the settings of the listener for backend servers that register
// themselves, and for operators that replace the complete configuration.
type Registry struct {
	Listen            Address  `yaml:"listen" doc:"IP address and port for registrations and complete configurations."`
	HeartbeatInterval Duration `yaml:"heartbeat" doc:"Time between two registrations of a backend server."`
	ActivationTimeout Duration `yaml:"activation_timeout" doc:"Time from the commit of a complete configuration in which every relay must have it in force. A relay that knows of a newer one for four fifths of it refuses all requests; empty means that it serves on."`
	DrainTimeout      Duration `yaml:"drain_timeout" doc:"Time from the acknowledgement of an order to drain an availability zone in which requests to its backend servers must end to be sent. In the first half of it, the zone still gets what no other zone can take; 0s means 5s."`
	SnapshotInterval  Duration `yaml:"snapshot_interval" doc:"Time between two snapshots of the registry in the data folder of a control process. After a restart their backend servers get requests before they have registered again. Used only for configurations with deferrable routes, see admission.objective_spread; 0s writes and uses none."`
}

// Platform holds the settings of the listeners for health checks and metrics.
type Platform struct {
	Listen      Address `yaml:"listen" doc:"IP address and port for /healthz, /readyz and /metrics."`
	ReadyListen Address `yaml:"ready" doc:"IP address and port for the readiness checks of the users' platform."`
	Profile     bool    `yaml:"profile" doc:"Serve CPU and memory profiles under /debug/pprof/ on the same listener."`
}

// Limits holds the settings of token limits.
type Limits struct {
	Policy  Choice   `yaml:"policy" allowed:"leased equal_shares shared_counters" doc:"How a workspace's allowance is shared between instances."`
	Overrun Fraction `yaml:"overrun" doc:"Share of rate and burst by which the site may exceed the allowance; shared counters grant a part of it."`
	Slack   int      `yaml:"slack" doc:"Tokens by which the site may exceed the allowance on top of the overrun."`
}

// Queue holds the settings of admission.
type Queue struct {
	Policy                Choice `yaml:"policy" allowed:"fair fcfs" doc:"Order in which waiting requests run."`
	ConcurrencyPerBackend int    `yaml:"per_backend" doc:"Requests that run concurrently on each backend server, over all its models and all entries; should be close to the engine's batch size."`
	MaxWaiting            int    `yaml:"max_waiting" doc:"Maximum number of waiting requests."`
}

// Routing holds the settings of the choice of the backend server.
type Routing struct {
	Policy      Choice   `yaml:"policy" allowed:"expected_first_token least_in_flight round_robin" doc:"How the backend server is chosen."`
	RetryShare  Fraction `yaml:"retry_share" doc:"Maximum ratio of retries to requests."`
	RetryWindow Duration `yaml:"retry_window" doc:"Time window over which requests and retries are counted; 0s means 10s."`
	RetrySlack  int      `yaml:"retry_slack" doc:"Retries that all instances together may make on top of the ratio, for each service."`
	MaxAttempts int      `yaml:"attempts" doc:"Maximum number of attempts for one request."`
}

// Admission holds the settings of admission by objective.
type Admission struct {
	ObjectiveSpread float64  `yaml:"objective_spread" doc:"Admission by objective is on for configurations in which the objectives of the routes to one service differ at least by this factor; 0 turns it off."`
	ZoneShare       Fraction `yaml:"zone_share" doc:"Part of its objective by which a request may be expected to wait longer in the relay's own availability zone than in another one; saves traffic between zones. Used only with admission by objective."`
	DirectPeers     int      `yaml:"direct_peers" doc:"Number of relays above which they exchange their loads between availability zones as sums, while admission by objective is on; 0 means that only membership.direct_peers decides."`
}

// Placement holds the settings of the placement of models and adapters.
type Placement struct {
	Policy                 Choice   `yaml:"policy" allowed:"marginal_attainment least_recently_used" doc:"How copies of models are placed."`
	Objective              Choice   `yaml:"objective" allowed:"worst_served_workspace refusals_within_rate" doc:"What placement optimizes first."`
	Interval               Duration `yaml:"interval" doc:"Time between two placement plans."`
	HandoverDelay          Duration `yaml:"handover" doc:"Time that a new leader waits before its first load or unload order, so that the orders of its predecessor have arrived by then."`
	StoreRate              float64  `yaml:"store_rate" doc:"Loads per second that the weight store allows."`
	StoreConcurrency       int      `yaml:"store_concurrency" doc:"Concurrent loads that the weight store serves at full speed."`
	AdapterConcurrency     int      `yaml:"adapter_loads_at_once" doc:"Concurrent adapter loads that the weight store serves at full speed."`
	DemandHalfLife         Duration `yaml:"demand_half_life" doc:"Half-life of the exponential average of the demand."`
	LostBackendGracePeriod Duration `yaml:"lost_backend_patience" doc:"Time before a lost backend server's redundant copies are replaced; copies that no other backend server has are replaced immediately."`
}

// Agent holds the settings of an agent and of the backend server beside it.
type Agent struct {
	EngineURL         string   `yaml:"engine_url" doc:"Base address of the model engine beside the agent."`
	ServiceURL        string   `yaml:"service_url" doc:"Base address of the plain service beside the agent."`
	Services          []string `yaml:"services" doc:"Names of the plain services that the backend server provides."`
	Memory            Size     `yaml:"memory" doc:"Accelerator memory of the backend server."`
	EngineChecksFence bool     `yaml:"engine_checks_fence" doc:"The engine refuses orders with an outdated fencing number."`
	DataDir           string   `yaml:"data_dir" doc:"Folder for the agent's order journal and its copy of the configuration; neither is stored when empty."`
}

// Objectives holds the service-level objectives.
type Objectives struct {
	FirstToken   Duration `yaml:"first_token" doc:"Maximum time to the first token."`
	InterToken   Duration `yaml:"inter_token" doc:"Maximum time between two tokens."`
	Share        Fraction `yaml:"share" doc:"Share of requests that must meet each of first_token and inter_token."`
	Availability Fraction `yaml:"availability" doc:"Share of requests that must be answered."`
	WithinRate   Fraction `yaml:"within_rate" doc:"Share of requests within their workspace's rate that must not be refused."`
}

// Shutdown holds the settings of the graceful shutdown.
type Shutdown struct {
	Delay       Duration `yaml:"delay" doc:"Time between reporting not ready and closing the listeners, in which load balancers stop sending requests. Listeners close up to 1s later, once no connection comes."`
	Timeout     Duration `yaml:"timeout" doc:"Maximum time that running requests get to finish. A relay ends those that are left 300ms earlier, with a response."`
	GracePeriod Duration `yaml:"grace" doc:"Time from the signal until the platform kills the process; 0s sets no bound."`
}

// Standin holds the settings of a stand-in engine, plain service or weight store.
type Standin struct {
	Listen          Address  `yaml:"listen" doc:"IP address and port that the stand-in listens on."`
	Service         string   `yaml:"service" doc:"Name of the plain service; a model engine when empty."`
	Memory          Size     `yaml:"memory" doc:"Accelerator memory of the engine."`
	PrefillRate     float64  `yaml:"prefill_rate" doc:"Prompt tokens processed per second."`
	InterToken      Duration `yaml:"inter_token" doc:"Time between two tokens of one answer in a batch of one."`
	InterTokenStep  Duration `yaml:"inter_token_step" doc:"Time that each further answer in the batch adds between two tokens."`
	CacheTokens     int64    `yaml:"cache_tokens" doc:"Size of the prefix cache in tokens."`
	AdapterLoadTime Duration `yaml:"adapter_load_time" doc:"Time that one adapter load takes at full speed."`
	ReportLag       Duration `yaml:"report_lag" doc:"Age of load reports."`
	MaxBatch        int      `yaml:"max_batch" doc:"Maximum number of answers generated concurrently."`
	LoadTime        Duration `yaml:"load_time" doc:"Time that one model load takes at the weight store's full speed."`
	StoreURL        string   `yaml:"store_url" doc:"Base address of a weight store that engines share; each engine has its own when empty."`
	IgnoreFence     bool     `yaml:"ignore_fence" doc:"Ignore fencing numbers, as some engines do."`

	WeightStore WeightStore `yaml:"weight_store" doc:"Stand-in weight store instead of an engine."`
}

// WeightStore holds the settings of a stand-in weight store that engines share.
type WeightStore struct {
	Serve              bool    `yaml:"serve" doc:"Serve a weight store instead of an engine."`
	Rate               float64 `yaml:"rate" doc:"Model loads per second; unlimited when 0."`
	Concurrency        int     `yaml:"concurrency" doc:"Concurrent model loads served at full speed; unlimited when 0."`
	AdapterConcurrency int     `yaml:"adapter_knee" doc:"Concurrent adapter loads served at full speed; unlimited when 0."`
}
