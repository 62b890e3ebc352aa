// Package aubsettings defines the settings of every role, their defaults, the
// checks of a settings file and the generated reference page.
package aubsettings

// Settings is the whole of a process's settings. The doc tag is the text of the
// reference page, the allowed tag the fixed set of a choice.
type Settings struct {
	Name       string     `yaml:"name" doc:"Name of the process, unique in the site." required:"true"`
	Zone       string     `yaml:"zone" doc:"Availability zone of the process." required:"true"`
	SecretFile string     `yaml:"secret_file" doc:"File with the secret that the site's processes share; it authenticates datagrams."`
	Log        Log        `yaml:"log" doc:"Logging."`
	Internal   Internal   `yaml:"internal" doc:"Listener for the site's own processes (gRPC)."`
	Membership Membership `yaml:"membership" doc:"Liveness and load datagrams (UDP)."`
	Control    Control    `yaml:"control" doc:"Replicated state."`
	Caller     Caller     `yaml:"caller" doc:"Listener for callers (HTTP)."`
	Registry   Registry   `yaml:"registry" doc:"Listener for backend servers and operators of the users' platform (HTTP)."`
	Admin      Admin      `yaml:"admin" doc:"Listener for operators (HTTP)."`
	Platform   Platform   `yaml:"platform" doc:"Listener for health checks and metrics (HTTP)."`
	Limits     Limits     `yaml:"limits" doc:"Token limits of workspaces."`
	Queue      Queue      `yaml:"queue" doc:"Admission and fair queueing."`
	Routing    Routing    `yaml:"routing" doc:"Choice of the backend server."`
	Placement  Placement  `yaml:"placement" doc:"Placement of models and adapters."`
	Agent      Agent      `yaml:"agent" doc:"The backend server beside an agent."`
	Standin    Standin    `yaml:"standin" doc:"Stand-in engine or plain service, for tests and measurements."`
	Objectives Objectives `yaml:"objectives" doc:"Service-level objectives for the burn report."`
	Shutdown   Shutdown   `yaml:"shutdown" doc:"Graceful shutdown."`
}

// Log is the settings of logging.
type Log struct {
	Format Choice `yaml:"format" allowed:"json console" doc:"Format of log lines."`
	Level  Choice `yaml:"level" allowed:"debug info warn error" doc:"Least level that is written."`
}

// TLS is the settings of a listener's certificates.
type TLS struct {
	CertFile string `yaml:"cert_file" doc:"PEM certificate chain; TLS is off while empty. The file is read again when it changes."`
	KeyFile  string `yaml:"key_file" doc:"PEM private key of the certificate."`
	CAFile   string `yaml:"ca_file" doc:"PEM certificates that sign peers; peers must show a certificate when set."`
}

// Internal is the settings of the listener for the site's own processes.
type Internal struct {
	Listen    Address `yaml:"listen" doc:"IP number and port that the process listens on."`
	Advertise Address `yaml:"advertise" doc:"IP number and port under which other processes reach it; empty for those of listen."`
	TLS       TLS     `yaml:"tls" doc:"Certificates between the site's processes."`
}

// Address returns the address under which other processes reach the listener.
func (i Internal) Address() string {
	if i.Advertise != "" {
		return i.Advertise.String()
	}
	return i.Listen.String()
}

// Membership is the settings of the datagrams.
type Membership struct {
	Listen   Address   `yaml:"listen" doc:"IP number and UDP port that the process listens on."`
	Seeds    []Address `yaml:"seeds" doc:"UDP addresses of the entry instances."`
	Interval Duration  `yaml:"interval" doc:"Time between two announcements."`
	Timeout  Duration  `yaml:"timeout" doc:"Silence after which a process counts as lost."`
	Budget   Size      `yaml:"budget" doc:"Most bytes that the process sends in a second."`
}

// Control is the settings of the replicated state.
type Control struct {
	DataDir   string    `yaml:"data_dir" doc:"Data folder of the control replica; a process without it carries no replica."`
	Voters    []Peer    `yaml:"voters" doc:"Control replicas at the first start, this one included."`
	Seeds     []Address `yaml:"seeds" doc:"Addresses on hosts that run control processes, of which only the host counts; the first start forms the control replicas there."`
	Port      int       `yaml:"port" doc:"Internal port of every control process that the seeds name."`
	Form      bool      `yaml:"form" doc:"Form a new cluster with the seeds when no replica holds one."`
	Losses    int       `yaml:"losses" doc:"Control replicas that may be lost at once; replicas join by themselves until twice as many and one vote."`
	Silence   Duration  `yaml:"silence" doc:"Silence after which a replica that joins takes a voter's place; 0s leaves that to an operator."`
	Addresses []Address `yaml:"addresses" doc:"Internal addresses of the control replicas, for a process that carries none."`
	Heartbeat Duration  `yaml:"heartbeat" doc:"Time between two messages of the leader."`
	Election  Duration  `yaml:"election" doc:"Least silence of the leader before an election."`
}

// Peer is one control replica.
type Peer struct {
	Name    string  `yaml:"name" doc:"Name of the process."`
	Address Address `yaml:"address" doc:"Internal address of the process."`
}

// Caller is the settings of the listener for callers.
type Caller struct {
	Listen         Address  `yaml:"listen" doc:"IP number and port for callers."`
	TLS            TLS      `yaml:"tls" doc:"Certificates for callers."`
	MaxBody        Size     `yaml:"max_body" doc:"Largest request body."`
	RequestTimeout Duration `yaml:"request_timeout" doc:"Longest time one request may take."`
	QueueTimeout   Duration `yaml:"queue_timeout" doc:"Longest time one request may wait for a backend server."`
	WriteTimeout   Duration `yaml:"write_timeout" doc:"Longest time a caller may take to accept one piece of an answer."`
}

// Admin is the settings of the listener for operators.
type Admin struct {
	Listen         Address `yaml:"listen" doc:"IP number and port for operators."`
	TLS            TLS     `yaml:"tls" doc:"Certificates for operators."`
	CredentialFile string  `yaml:"credential_file" doc:"File with the operators' bearer credential."`
}

// Registry is the settings of the listener for backend servers that register
// themselves, and for operators that replace whole configurations.
type Registry struct {
	Listen    Address  `yaml:"listen" doc:"IP number and port for registrations and whole configurations."`
	Heartbeat Duration `yaml:"heartbeat" doc:"Time between two registrations of a backend server."`
}

// Platform is the settings of the listener for the platform.
type Platform struct {
	Listen  Address `yaml:"listen" doc:"IP number and port for /healthz, /readyz and /metrics."`
	Ready   Address `yaml:"ready" doc:"IP number and port for the readiness checks of the users' platform."`
	Profile bool    `yaml:"profile" doc:"Serve processor and memory profiles under /debug/pprof/ on the same listener."`
}

// Limits is the settings of token limits.
type Limits struct {
	Policy  Choice   `yaml:"policy" allowed:"leased equal_shares shared_counters" doc:"How a workspace's allowance is shared between instances."`
	Overrun Fraction `yaml:"overrun" doc:"Share of rate and burst that the site tolerates above the allowance; shared counters give out a part of it."`
	Slack   int      `yaml:"slack" doc:"Tokens that the site tolerates on top of the overrun."`
}

// Queue is the settings of admission.
type Queue struct {
	Policy     Choice `yaml:"policy" allowed:"fair fcfs" doc:"Order in which waiting requests run."`
	PerBackend int    `yaml:"per_backend" doc:"Requests that run at once on each backend server, over all its models and all entries; near the engine's batch."`
	MaxWaiting int    `yaml:"max_waiting" doc:"Requests that may wait."`
}

// Routing is the settings of the choice of the backend server.
type Routing struct {
	Policy      Choice   `yaml:"policy" allowed:"expected_first_token least_in_flight round_robin" doc:"How the backend server is chosen."`
	RetryShare  Fraction `yaml:"retry_share" doc:"Retries as a share of the requests."`
	RetryWindow Duration `yaml:"retry_window" doc:"Time over which requests and their retries are counted; 0s means 10s."`
	RetrySlack  int      `yaml:"retry_slack" doc:"Retries that all instances together may make on top of the share, for each service."`
	Attempts    int      `yaml:"attempts" doc:"Most sends of one request."`
}

// Placement is the settings of placement.
type Placement struct {
	Policy              Choice   `yaml:"policy" allowed:"marginal_attainment least_recently_used" doc:"How copies of models are placed."`
	Objective           Choice   `yaml:"objective" allowed:"worst_served_workspace refusals_within_rate" doc:"What placement weighs first."`
	Interval            Duration `yaml:"interval" doc:"Time between two plans."`
	Handover            Duration `yaml:"handover" doc:"Time without orders after a control process began to lead; orders of its predecessor have arrived by then."`
	StoreRate           float64  `yaml:"store_rate" doc:"Loads a second that the weight store allows."`
	StoreConcurrency    int      `yaml:"store_concurrency" doc:"Loads at once at the weight store's full speed."`
	AdapterLoadsAtOnce  int      `yaml:"adapter_loads_at_once" doc:"Adapter loads in flight at full speed."`
	DemandHalfLife      Duration `yaml:"demand_half_life" doc:"Half-life of the demand average."`
	LostBackendPatience Duration `yaml:"lost_backend_patience" doc:"Time before a lost backend server's second copies are replaced; its only copies are replaced at once."`
}

// Agent is the settings of the backend server beside an agent.
type Agent struct {
	EngineURL         string   `yaml:"engine_url" doc:"Base address of the model engine beside the agent."`
	ServiceURL        string   `yaml:"service_url" doc:"Base address of the plain service beside the agent."`
	Services          []string `yaml:"services" doc:"Names of the plain services that the backend server answers."`
	Memory            Size     `yaml:"memory" doc:"Accelerator memory of the backend server."`
	EngineChecksFence bool     `yaml:"engine_checks_fence" doc:"The engine refuses orders with an old fencing number."`
	DataDir           string   `yaml:"data_dir" doc:"Folder in which the agent keeps its order ledger and its configuration copy; empty keeps none."`
}

// Objectives is the settings of the service levels.
type Objectives struct {
	FirstToken   Duration `yaml:"first_token" doc:"First token within this time."`
	InterToken   Duration `yaml:"inter_token" doc:"Time between two tokens within this time."`
	Share        Fraction `yaml:"share" doc:"Share of requests that must meet a time objective."`
	Availability Fraction `yaml:"availability" doc:"Share of requests that must be answered."`
	WithinRate   Fraction `yaml:"within_rate" doc:"Share of requests within rate that must not be refused."`
}

// Shutdown is the settings of the graceful shutdown.
type Shutdown struct {
	Delay   Duration `yaml:"delay" doc:"Time between not ready and closing listeners, for the balancer to notice."`
	Timeout Duration `yaml:"timeout" doc:"Longest time that running requests get to finish."`
	Grace   Duration `yaml:"grace" doc:"Time from the signal until the platform kills the process; 0s sets no bound."`
}

// Standin is the settings of a stand-in engine or plain service.
type Standin struct {
	Listen          Address  `yaml:"listen" doc:"IP number and port that the stand-in listens on."`
	Service         string   `yaml:"service" doc:"Name of the plain service; a model engine while empty."`
	Memory          Size     `yaml:"memory" doc:"Accelerator memory of the engine."`
	PrefillRate     float64  `yaml:"prefill_rate" doc:"Prompt tokens a second."`
	InterToken      Duration `yaml:"inter_token" doc:"Time between two tokens of one answer in a batch of one."`
	InterTokenStep  Duration `yaml:"inter_token_step" doc:"Time that each further answer in the batch adds between two tokens."`
	CacheTokens     int64    `yaml:"cache_tokens" doc:"Size of the prefix cache in tokens."`
	AdapterLoadTime Duration `yaml:"adapter_load_time" doc:"Time that one adapter load takes at full speed."`
	ReportLag       Duration `yaml:"report_lag" doc:"Age of load reports."`
	MaxBatch        int      `yaml:"max_batch" doc:"Answers generated at once."`
	LoadTime        Duration `yaml:"load_time" doc:"Time that one model load takes at the weight store's full speed."`
	StoreURL        string   `yaml:"store_url" doc:"Base address of a weight store that engines share; each has its own while empty."`
	IgnoreFence     bool     `yaml:"ignore_fence" doc:"Ignore fencing numbers, as some engines do."`

	WeightStore WeightStore `yaml:"weight_store" doc:"Stand-in weight store instead of an engine."`
}

// WeightStore is the settings of a stand-in weight store that engines share.
type WeightStore struct {
	Serve       bool    `yaml:"serve" doc:"Serve a weight store instead of an engine."`
	Rate        float64 `yaml:"rate" doc:"Model loads a second; no bound while 0."`
	Concurrency int     `yaml:"concurrency" doc:"Model loads at once at full speed; no bound while 0."`
	AdapterKnee int     `yaml:"adapter_knee" doc:"Adapter loads at once at full speed; no bound while 0."`
}
