// Package configurer reads the settings of all processes from TOML files and
// reports every fault with its key, line and allowed range.
//
// # Usage
//
//	settings, err := configurer.LoadRouter("router.toml")
//	var faults configurer.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults {
//			fmt.Println(f)
//		}
//	}
//
// docs/SETTINGS.md describes every key; a test compares it with the file types of
// this package.
package configurer

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Peer is another router of the fleet.
type Peer struct {
	Name    string
	Address string
}

// Operator is a user of a router's operator API.
type Operator struct {
	Name    string
	KeyHash string
	Role    string
}

// Router holds the settings of a router.
type Router struct {
	Name            string
	Domain          string
	CallerAddress   string
	OperatorAddress string
	FleetAddress    string
	Platform        string
	Secret          string
	FlushInterval   time.Duration
	LeaveTime       time.Duration
	ShutdownLimit   time.Duration
	PlatformTimeout time.Duration
	KeptAtPlatform  float64
	Peers           []Peer
	Operators       []Operator
	// MaxDescriptors and MaxMemory are as in Gateway.
	MaxDescriptors int
	MaxMemory      int
}

// Agent holds the settings of an agent.
type Agent struct {
	Target          string
	Domain          string
	FleetAddress    string
	Platform        string
	Secret          string
	Kind            string
	URL             string
	Serves          string
	Capacity        int
	ShutdownLimit   time.Duration
	PlatformTimeout time.Duration
	// MaxDescriptors and MaxMemory are as in Gateway.
	MaxDescriptors int
	MaxMemory      int
}

// Kinds of target beside which an agent runs.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Roles of operators.
const (
	RoleAdmin  = "admin"
	RoleViewer = "viewer"
)

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Faults lists all faults of a settings file.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Types of the settings files; the exported types carry no tags and are mapped by
// hand.
type (
	routerFile struct {
		Name            string         `toml:"name"`
		Domain          string         `toml:"domain"`
		CallerAddress   string         `toml:"callerAddress"`
		OperatorAddress string         `toml:"operatorAddress"`
		FleetAddress    string         `toml:"fleetAddress"`
		Platform        string         `toml:"platform"`
		Secret          string         `toml:"secret"`
		FlushInterval   string         `toml:"flushInterval"`
		LeaveTime       string         `toml:"leaveTime"`
		ShutdownLimit   string         `toml:"shutdownLimit"`
		PlatformTimeout string         `toml:"platformTimeout"`
		KeptAtPlatform  *float64       `toml:"keptAtPlatform"`
		Peers           []peerFile     `toml:"peers"`
		Operators       []operatorFile `toml:"operators"`
		MaxDescriptors  *float64       `toml:"maxDescriptors"`
		MaxMemory       *float64       `toml:"maxMemory"`
	}
	peerFile struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
	}
	operatorFile struct {
		Name    string `toml:"name"`
		KeyHash string `toml:"keyHash"`
		Role    string `toml:"role"`
	}
	agentFile struct {
		Target          string `toml:"target"`
		Domain          string `toml:"domain"`
		FleetAddress    string `toml:"fleetAddress"`
		Platform        string `toml:"platform"`
		Secret          string `toml:"secret"`
		Kind            string `toml:"kind"`
		URL             string `toml:"url"`
		Serves          string `toml:"serves"`
		Capacity        int    `toml:"capacity"`
		ShutdownLimit   string `toml:"shutdownLimit"`
		PlatformTimeout string `toml:"platformTimeout"`

		MaxDescriptors *float64 `toml:"maxDescriptors"`
		MaxMemory      *float64 `toml:"maxMemory"`
	}
)

// LoadRouter reads and validates the settings of a router.
//
// It returns all faults of the file as Faults.
func LoadRouter(path string) (*Router, error) {
	var f routerFile
	c, err := load(path, &f)
	if err != nil {
		return nil, err
	}
	s := &Router{
		Name: c.name("name", f.Name), Domain: c.name("domain", f.Domain),
		CallerAddress:   c.address("callerAddress", f.CallerAddress),
		OperatorAddress: c.address("operatorAddress", f.OperatorAddress),
		FleetAddress:    c.address("fleetAddress", f.FleetAddress),
		Platform:        c.url("platform", f.Platform), Secret: c.secret("secret", f.Secret),
		FlushInterval:   c.duration("flushInterval", f.FlushInterval, time.Second, 100*time.Millisecond, time.Minute),
		LeaveTime:       c.duration("leaveTime", f.LeaveTime, defaultLeaveTime, 0, time.Minute),
		ShutdownLimit:   c.duration("shutdownLimit", f.ShutdownLimit, time.Minute, time.Second, time.Hour),
		PlatformTimeout: c.duration("platformTimeout", f.PlatformTimeout, 2*time.Second, 10*time.Millisecond, time.Minute),
		KeptAtPlatform:  c.fraction("keptAtPlatform", f.KeptAtPlatform, 0),
		MaxDescriptors:  c.descriptors(f.MaxDescriptors), MaxMemory: c.memory(f.MaxMemory),
	}
	for i, p := range f.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		s.Peers = append(s.Peers, Peer{Name: c.name(key+".name", p.Name), Address: c.address(key+".address", p.Address)})
	}
	for i, o := range f.Operators {
		key := fmt.Sprintf("operators[%d]", i)
		s.Operators = append(s.Operators, Operator{
			Name: c.name(key+".name", o.Name), KeyHash: c.hash(key+".keyHash", o.KeyHash),
			Role: c.oneOf(key+".role", o.Role, RoleAdmin, RoleViewer),
		})
	}
	return s, c.err()
}

// LoadAgent reads and validates the settings of an agent, as LoadRouter does.
func LoadAgent(path string) (*Agent, error) {
	var f agentFile
	c, err := load(path, &f)
	if err != nil {
		return nil, err
	}
	s := &Agent{
		Target: c.name("target", f.Target), Domain: c.name("domain", f.Domain),
		FleetAddress: c.address("fleetAddress", f.FleetAddress),
		Platform:     c.url("platform", f.Platform), Secret: c.secret("secret", f.Secret),
		Kind: c.oneOf("kind", f.Kind, KindEngine, KindService), URL: c.url("url", f.URL),
		Serves: c.name("serves", f.Serves), Capacity: c.integer("capacity", f.Capacity, 1, 100_000),
		ShutdownLimit:   c.duration("shutdownLimit", f.ShutdownLimit, time.Minute, time.Second, time.Hour),
		PlatformTimeout: c.duration("platformTimeout", f.PlatformTimeout, 2*time.Second, 10*time.Millisecond, time.Minute),
		MaxDescriptors:  c.descriptors(f.MaxDescriptors), MaxMemory: c.memory(f.MaxMemory),
	}
	return s, c.err()
}

// load parses a file and returns a checker with a fault for each unknown key.
func load(path string, into any) (*checker, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	c := &checker{file: path, text: text}
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(into)
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return nil, Faults{{File: path, Line: parse.Position.Line, Key: parse.LastKey, Message: parse.Message}}
	}
	if err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	for _, key := range meta.Undecoded() {
		c.addFault(key.String(), "unknown key")
	}
	return c, nil
}

// checker collects the faults of one file.
type checker struct {
	file   string
	text   []byte
	faults Faults
}

func (c *checker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{File: c.file, Line: c.line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

// line returns the line on which a key is set, or 1 if the key is not set.
func (c *checker) line(key string) int {
	last := key[strings.LastIndex(key, ".")+1:]
	index := 0
	if i := strings.Index(key, "["); i >= 0 {
		_, _ = fmt.Sscanf(key[i:], "[%d]", &index)
	}
	for i, line := range strings.Split(string(c.text), "\n") {
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.TrimSpace(name) != last {
			continue
		}
		if index == 0 {
			return i + 1
		}
		index--
	}
	return 1
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return c.faults
}

func (c *checker) name(key, v string) string {
	if v == "" || strings.ContainsAny(v, " @/\t\n") {
		c.addFault(key, "must be a name without spaces, @ or /, not %q", v)
	}
	return v
}

func (c *checker) address(key, v string) string {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.addFault(key, "must be an IP address and port, not %q", v)
	}
	return v
}

func (c *checker) url(key, v string) string {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.addFault(key, "must be an http URL, not %q", v)
	}
	return v
}

func (c *checker) secret(key, v string) string {
	const minSecretBytes = 16
	if len(v) < minSecretBytes {
		c.addFault(key, "must have %d bytes or more, and has %d", minSecretBytes, len(v))
	}
	return v
}

func (c *checker) hash(key, v string) string {
	const hexDigits = 64
	if len(v) != hexDigits || strings.Trim(v, "0123456789abcdef") != "" {
		c.addFault(key, "must be %d lower-case hexadecimal digits", hexDigits)
	}
	return v
}

func (c *checker) oneOf(key, v string, allowed ...string) string {
	if !slices.Contains(allowed, v) {
		c.addFault(key, "must be one of %s, not %q", strings.Join(allowed, ", "), v)
	}
	return v
}

func (c *checker) integer(key string, v, low, high int) int {
	if v < low || v > high {
		c.addFault(key, "must be %d to %d, not %d", low, high, v)
	}
	return v
}

func (c *checker) fraction(key string, v *float64, defaultValue float64) float64 {
	return c.number(key, v, defaultValue, 0, 1)
}

func (c *checker) number(key string, v *float64, defaultValue, low, high float64) float64 {
	if v == nil {
		return defaultValue
	}
	if !(*v >= low && *v <= high) { // also refuses NaN
		c.addFault(key, "must be %g to %g, not %g", low, high, *v)
	}
	return *v
}

func (c *checker) duration(key, v string, defaultValue, low, high time.Duration) time.Duration {
	if v == "" {
		return defaultValue
	}
	d, err := parseDuration(v)
	if err != nil || d < low || d > high {
		c.addFault(key, "must be a duration from %s to %s, not %q", low, high, v)
	}
	return d
}

// parseDuration parses a duration like time.ParseDuration. It also accepts seconds with an
// exponent, such as "1e+03s", in which programs write large numbers.
func parseDuration(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if err == nil {
		return d, nil
	}
	seconds, ok := strings.CutSuffix(v, "s")
	if !ok {
		return 0, err
	}
	n, numberErr := strconv.ParseFloat(seconds, 64)
	if numberErr != nil || !(math.Abs(n) < math.MaxInt64/float64(time.Second)) {
		return 0, err
	}
	return time.Duration(n * float64(time.Second)), nil
}

// DetectKind returns the kind of a file, which it derives from the keys: "router",
// "agent", "gateway", "companion" or "fleet". A file that can't be parsed or has
// none of these keys counts as "router".
func DetectKind(text []byte) string {
	var keys map[string]any
	if err := toml.Unmarshal(text, &keys); err != nil {
		return "router"
	}
	if _, ok := keys["readyAddress"]; ok {
		return "gateway"
	}
	if _, ok := keys["callerAddress"]; ok {
		return "router"
	}
	if _, ok := keys["store"]; ok {
		return "companion"
	}
	if _, ok := keys["target"]; ok {
		return "agent"
	}
	if _, ok := keys["organisations"]; ok {
		return "fleet"
	}
	return "router"
}
