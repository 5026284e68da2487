package configurer

import "time"

// Gateway holds the settings of a gateway.
type Gateway struct {
	Name           string
	Domain         string
	CallerAddress  string
	ReadyAddress   string
	FleetAddress   string
	MetricsAddress string
	Store          string
	Seeds          []string
	Secret         string
	LeaveTime      time.Duration
	ShutdownLimit  time.Duration
	StoreTimeout   time.Duration
	RetryRatio     float64
	RetryWindow    time.Duration
	RetrySlack     float64
	StockHorizon   time.Duration
	// ColdOverage and ColdTolerance say how far cold targets tolerate more requests than the configuration states.
	ColdOverage   float64
	ColdTolerance float64
	// MaxDescriptors is 0 unless the file sets it.
	MaxDescriptors int
	// MaxMemory is the memory of the process in MB, 0 unless the file sets it.
	MaxMemory int
	// ProcessorShare is the process's share of a processor in cores, LinkMbps the rate of its host's link; 0
	// unless the file sets them.
	ProcessorShare float64
	LinkMbps       float64
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// Regions maps failure domains to their regions.
	Regions map[string]string
}

type gatewayFile struct {
	Name           string   `toml:"name"`
	Domain         string   `toml:"domain"`
	CallerAddress  string   `toml:"callerAddress"`
	ReadyAddress   string   `toml:"readyAddress"`
	FleetAddress   string   `toml:"fleetAddress"`
	MetricsAddress string   `toml:"metricsAddress"`
	Store          string   `toml:"store"`
	Seeds          []string `toml:"seeds"`
	Secret         string   `toml:"secret"`
	LeaveTime      string   `toml:"leaveTime"`
	ShutdownLimit  string   `toml:"shutdownLimit"`
	StoreTimeout   string   `toml:"storeTimeout"`
	RetryRatio     *float64 `toml:"retryRatio"`
	RetryWindow    string   `toml:"retryWindow"`
	RetrySlack     *float64 `toml:"retrySlack"`
	StockHorizon   string   `toml:"stockHorizon"`
	ColdOverage    *float64 `toml:"coldOverage"`
	ColdTolerance  *float64 `toml:"coldTolerance"`
	MaxDescriptors *float64 `toml:"maxDescriptors"`
	MaxMemory      *float64 `toml:"maxMemory"`
	ProcessorShare *float64 `toml:"processorShare"`
	LinkMbps       *float64 `toml:"linkMbps"`
	FirstStart     bool     `toml:"firstStart"`

	Regions map[string]string `toml:"regions"`
}

const (
	// defaultRetryRatio allows one retry per five requests.
	defaultRetryRatio = 0.2
	// maxRetryRatio and maxRetrySlack are far above any useful budget, as the two after
	// them are.
	maxRetryRatio    = 100
	maxRetrySlack    = 1e9
	maxColdOverage   = 100
	maxColdTolerance = 1e9
	// minDescriptors leaves some for targets and the store.
	minDescriptors = 100
	maxDescriptors = 1e9
	// minMemory and maxMemory bound the memory of a process in MB: below that little is left beside
	// the program itself.
	minMemory = 64
	maxMemory = 1e8
	// The bounds of a host's processors and link are beyond those of any host.
	minProcessorShare = 0.001
	maxProcessorShare = 1e4
	minLinkMbps       = 0.01
	maxLinkMbps       = 1e7
	// defaultLeaveTime is longer than two intervals of a load balancer that probes
	// readiness once a second.
	defaultLeaveTime = 2500 * time.Millisecond
	// defaultStoreTimeout is far above the latency of a slow store. Time-critical
	// calls have a shorter timeout, which adapts to the store's latency.
	defaultStoreTimeout = 3 * time.Second
	// defaultStockHorizon is longer than the partitions from the store that the users
	// expect routers to survive (nine seconds on their standard test days).
	defaultStockHorizon = 10 * time.Second
)

// LoadGateway reads and validates the settings of a gateway, as LoadRouter does.
func LoadGateway(path string) (*Gateway, error) {
	var f gatewayFile
	c, err := load(path, &f)
	if err != nil {
		return nil, err
	}
	s := &Gateway{
		Name: c.name("name", f.Name), Domain: c.name("domain", f.Domain),
		CallerAddress: c.address("callerAddress", f.CallerAddress),
		ReadyAddress:  c.address("readyAddress", f.ReadyAddress),
		FleetAddress:  c.address("fleetAddress", f.FleetAddress),
		Store:         c.address("store", f.Store), Secret: c.secret("secret", f.Secret),
		LeaveTime:     c.duration("leaveTime", f.LeaveTime, defaultLeaveTime, 0, time.Minute),
		ShutdownLimit: c.duration("shutdownLimit", f.ShutdownLimit, time.Minute, time.Second, time.Hour),
		StoreTimeout:  c.duration("storeTimeout", f.StoreTimeout, defaultStoreTimeout, 10*time.Millisecond, time.Minute),
		RetryRatio:    c.number("retryRatio", f.RetryRatio, defaultRetryRatio, 0, maxRetryRatio),
		RetryWindow:   c.duration("retryWindow", f.RetryWindow, 10*time.Second, time.Second, time.Hour),
		RetrySlack:    c.number("retrySlack", f.RetrySlack, 0, 0, maxRetrySlack),
		StockHorizon:  c.duration("stockHorizon", f.StockHorizon, defaultStockHorizon, time.Second, time.Hour),

		ColdOverage:    c.number("coldOverage", f.ColdOverage, 1, 0, maxColdOverage),
		ColdTolerance:  c.number("coldTolerance", f.ColdTolerance, 0, 0, maxColdTolerance),
		MaxDescriptors: c.descriptors(f.MaxDescriptors),
		MaxMemory:      c.memory(f.MaxMemory),
		ProcessorShare: c.number("processorShare", f.ProcessorShare, 0, minProcessorShare, maxProcessorShare),
		LinkMbps:       c.number("linkMbps", f.LinkMbps, 0, minLinkMbps, maxLinkMbps),
		FirstStart:     f.FirstStart,
	}
	if f.MetricsAddress != "" {
		s.MetricsAddress = c.address("metricsAddress", f.MetricsAddress)
	}
	s.Regions = make(map[string]string, len(f.Regions))
	for domain, region := range f.Regions {
		s.Regions[c.name("regions", domain)] = c.name("regions", region)
	}
	for _, seed := range f.Seeds {
		s.Seeds = append(s.Seeds, c.address("seeds", seed))
	}
	return s, c.err()
}

// Companion holds the settings of a companion.
type Companion struct {
	Name         string
	Domain       string
	FleetAddress string
	Store        string
	Secret       string
	StoreTimeout time.Duration
	// MaxDescriptors and MaxMemory are as in Gateway.
	MaxDescriptors int
	MaxMemory      int
}

type companionFile struct {
	Name         string `toml:"name"`
	Domain       string `toml:"domain"`
	FleetAddress string `toml:"fleetAddress"`
	Store        string `toml:"store"`
	Secret       string `toml:"secret"`
	StoreTimeout string `toml:"storeTimeout"`

	MaxDescriptors *float64 `toml:"maxDescriptors"`
	MaxMemory      *float64 `toml:"maxMemory"`
}

// LoadCompanion reads and validates the settings of a companion, as LoadRouter does.
func LoadCompanion(path string) (*Companion, error) {
	var f companionFile
	c, err := load(path, &f)
	if err != nil {
		return nil, err
	}
	s := &Companion{
		Name: c.name("name", f.Name), Domain: c.name("domain", f.Domain),
		FleetAddress: c.address("fleetAddress", f.FleetAddress), Store: c.address("store", f.Store),
		Secret:       c.secret("secret", f.Secret),
		StoreTimeout: c.duration("storeTimeout", f.StoreTimeout, defaultStoreTimeout, 10*time.Millisecond, time.Minute),

		MaxDescriptors: c.descriptors(f.MaxDescriptors), MaxMemory: c.memory(f.MaxMemory),
	}
	return s, c.err()
}

// descriptors checks a number of descriptors; 0 means that the file doesn't set it.
func (c *checker) descriptors(n *float64) int {
	return int(c.number("maxDescriptors", n, 0, minDescriptors, maxDescriptors))
}

// memory checks a number of MB; 0 means that the file doesn't set it.
func (c *checker) memory(n *float64) int {
	return int(c.number("maxMemory", n, 0, minMemory, maxMemory))
}
