// Package config reads and checks the settings of one process.
package config

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Settings are the settings of a router process.
type Settings struct {
	Instance Instance
	Platform Platform
	Peers    Peers
	TLS      TLS
	Server   Server
}

// Instance says who the process is.
type Instance struct {
	ID             string
	Zone           string
	CallerListen   string
	OperatorListen string
	PeerListen     string
	PeerAddress    string // address that other instances use; empty: the one listened on
}

// Platform says where the object API and the instance list are.
type Platform struct {
	Address string // URL
}

// Peers names instances to ask when the platform does not answer.
type Peers struct {
	Seeds []string
}

// TLS names certificate files in PEM. A listener without files speaks plain
// HTTP. Instances talk to each other only when the peer files are given.
type TLS struct {
	CallerCert   string
	CallerKey    string
	OperatorCert string
	OperatorKey  string
	PeerCert     string
	PeerKey      string
	PeerCA       string // authority that signs the certificates of all instances
}

// Server holds limits of the listeners.
type Server struct {
	DrainTimeout time.Duration // longest wait for running requests
	ReadyGrace   time.Duration // time between leaving readiness and closing the listener
}

// Load reads settings from a file. Mistakes in it are an *inifile.Error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings: name a readable file with --settings")
	}
	return Parse(path, text)
}

// Parse reads settings. The name is the file name that errors show. The error
// is an *inifile.Error with all mistakes.
func Parse(name string, text []byte) (*Settings, error) {
	var report inifile.Report
	s := Check(name, text, &report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check reads settings and adds their mistakes to report.
func Check(name string, text []byte, report *inifile.Report) *Settings {
	s := &Settings{}
	doc := inifile.Parse(name, text, report, kinds()...)
	sections := make(map[string]*inifile.Section)
	for _, group := range groups(s) {
		section := doc.Section(group.word)
		section.Decode(group.fields...)
		sections[group.word] = section
	}
	checker{s, sections}.check()
	return s
}
