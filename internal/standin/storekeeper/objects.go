package storekeeper

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const maxObjectBytes = 64 << 20

// Host is an entry of the platform's host list.
type Host struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Draining bool   `json:"leaving"`
}

// hostChange is an addition, update or removal in the host list, with its time.
type hostChange struct {
	host    Host
	removed bool
	at      time.Time
}

// storage holds the objects and the history of the host list.
type storage struct {
	mu      sync.Mutex // guards all below
	objects map[string][]byte
	changes []hostChange
}

// addStorageRoutes registers the routes of the object store and of the host list.
func (k *Storekeeper) addStorageRoutes(m *mux.Router) {
	m.HandleFunc("/objects/{name:.+}", k.servePutObject).Methods(http.MethodPut)
	m.HandleFunc("/objects/{name:.+}", k.serveGetObject).Methods(http.MethodGet)
	m.HandleFunc("/hosts", k.serveHosts).Methods(http.MethodGet)
	m.HandleFunc("/hosts", k.servePutHost).Methods(http.MethodPost)
	m.HandleFunc("/hosts/{name}", k.serveDeleteHost).Methods(http.MethodDelete)
}

func (k *Storekeeper) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !k.admit(w, k.writes) {
		return
	}
	k.storage.mu.Lock()
	defer k.storage.mu.Unlock()
	if k.storage.objects == nil {
		k.storage.objects = make(map[string][]byte)
	}
	k.storage.objects[mux.Vars(r)["name"]] = body
}

func (k *Storekeeper) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if !k.admit(w, k.reads) {
		return
	}
	k.storage.mu.Lock()
	body, ok := k.storage.objects[mux.Vars(r)["name"]]
	k.storage.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (k *Storekeeper) servePutHost(w http.ResponseWriter, r *http.Request) {
	var h Host
	if decodeRequest(w, r, &h) && k.admit(w, k.writes) {
		k.recordHostChange(hostChange{host: h, at: time.Now()})
	}
}

func (k *Storekeeper) serveDeleteHost(w http.ResponseWriter, r *http.Request) {
	if k.admit(w, k.writes) {
		k.recordHostChange(hostChange{host: Host{Name: mux.Vars(r)["name"]}, removed: true, at: time.Now()})
	}
}

func (k *Storekeeper) recordHostChange(c hostChange) {
	k.storage.mu.Lock()
	defer k.storage.mu.Unlock()
	k.storage.changes = append(k.storage.changes, c)
}

func (k *Storekeeper) serveHosts(w http.ResponseWriter, _ *http.Request) {
	if k.admit(w, k.reads) {
		_ = json.NewEncoder(w).Encode(k.Hosts(time.Now()))
	}
}

// Hosts returns the host list as it was HostLag before now.
func (k *Storekeeper) Hosts(now time.Time) []Host {
	k.storage.mu.Lock()
	defer k.storage.mu.Unlock()
	byName := make(map[string]Host)
	var order []string
	for _, c := range k.storage.changes {
		if c.at.After(now.Add(-k.HostLag)) {
			break
		}
		if _, listed := byName[c.host.Name]; !listed {
			order = append(order, c.host.Name)
		}
		byName[c.host.Name] = c.host
		if c.removed {
			delete(byName, c.host.Name)
		}
	}
	hosts := []Host{}
	for _, name := range order {
		if h, ok := byName[name]; ok {
			hosts = append(hosts, h)
			delete(byName, name)
		}
	}
	return hosts
}
