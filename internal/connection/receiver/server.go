package receiver

import (
	"net"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
)

// Limits of listeners that are not for clients.
const (
	otherConnections = 32
	otherHeadBytes   = 16 << 10
	otherHeadTimeout = 10 * time.Second
	otherIdleTimeout = 75 * time.Second
)

// NewOtherListener returns a listener that is not for clients, such as that of metrics, within the
// budget.
func NewOtherListener(ln net.Listener, b *budgeter.Budget) *Listener {
	return &Listener{Listener: ln, Budget: b, Max: otherConnections, Limits: func() Limits {
		return Limits{HeadBytes: otherHeadBytes, HeadTimeout: otherHeadTimeout, IdleTimeout: otherIdleTimeout}
	}}
}

// MaxHeaderBytes returns what to set http.Server.MaxHeaderBytes to for a limit of heads: the
// connection refuses longer ones before net/http does.
func MaxHeaderBytes(headBytes int) int {
	return headBytes + headSlack
}

// NewOtherServer returns a server for a listener that is not for clients.
func NewOtherServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: Handler(h), ReadHeaderTimeout: otherHeadTimeout, IdleTimeout: otherIdleTimeout, MaxHeaderBytes: MaxHeaderBytes(otherHeadBytes),
		ConnState: ConnState, ConnContext: ConnContext,
	}
}
