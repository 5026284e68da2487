package configurer

import "time"

// Gateway is the settings of a gateway.
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
	RetrySlack     float64  `toml:"retrySlack"`
	StockHorizon   string   `toml:"stockHorizon"`
}

const (
	// defaultRetryRatio lets one request in five be sent again.
	defaultRetryRatio = 0.2
	// defaultLeaveTime is longer than two of a balancer's questions, one a second.
	defaultLeaveTime = 2500 * time.Millisecond
	// defaultStoreTimeout is far above what a slow store takes; calls that matter
	// have a shorter patience, which follows the store.
	defaultStoreTimeout = 3 * time.Second
	// defaultStockHorizon is longer than a cut of the store that the users expect
	// routers to live through (nine seconds in their standard days).
	defaultStockHorizon = 10 * time.Second
)

// LoadGateway reads and checks the settings of a gateway.
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
		RetryRatio:    c.fraction("retryRatio", f.RetryRatio, defaultRetryRatio),
		RetryWindow:   c.duration("retryWindow", f.RetryWindow, 10*time.Second, time.Second, time.Hour),
		RetrySlack:    f.RetrySlack,
		StockHorizon:  c.duration("stockHorizon", f.StockHorizon, defaultStockHorizon, time.Second, time.Hour),
	}
	if f.MetricsAddress != "" {
		s.MetricsAddress = c.address("metricsAddress", f.MetricsAddress)
	}
	if f.RetrySlack < 0 {
		c.fault("retrySlack", "must not be below 0, and is %g", f.RetrySlack)
	}
	for _, seed := range f.Seeds {
		s.Seeds = append(s.Seeds, c.address("seeds", seed))
	}
	return s, c.err()
}

// Companion is the settings of a companion.
type Companion struct {
	Name         string
	Domain       string
	FleetAddress string
	Store        string
	Secret       string
	StoreTimeout time.Duration
}

type companionFile struct {
	Name         string `toml:"name"`
	Domain       string `toml:"domain"`
	FleetAddress string `toml:"fleetAddress"`
	Store        string `toml:"store"`
	Secret       string `toml:"secret"`
	StoreTimeout string `toml:"storeTimeout"`
}

// LoadCompanion reads and checks the settings of a companion.
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
	}
	return s, c.err()
}
