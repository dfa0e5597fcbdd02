// Package config reads the settings of one process.
package config

import (
	"fmt"
	"os"
	"time"

	"gopkg.in/ini.v1"
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

const (
	defaultDrainTimeout = 2 * time.Minute
	defaultReadyGrace   = 0
)

// Load reads settings from a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse reads settings.
func Parse(text []byte) (*Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	instance := file.Section("instance")
	return &Settings{
		Instance: Instance{
			ID:             instance.Key("id").String(),
			Zone:           instance.Key("zone").String(),
			CallerListen:   instance.Key("caller_listen").String(),
			OperatorListen: instance.Key("operator_listen").String(),
			PeerListen:     instance.Key("peer_listen").String(),
			PeerAddress:    instance.Key("peer_address").String(),
		},
		Platform: Platform{Address: file.Section("platform").Key("address").String()},
		Peers:    Peers{Seeds: file.Section("peers").Key("seeds").Strings(",")},
		TLS: TLS{
			CallerCert:   file.Section("tls").Key("caller_cert").String(),
			CallerKey:    file.Section("tls").Key("caller_key").String(),
			OperatorCert: file.Section("tls").Key("operator_cert").String(),
			OperatorKey:  file.Section("tls").Key("operator_key").String(),
			PeerCert:     file.Section("tls").Key("peer_cert").String(),
			PeerKey:      file.Section("tls").Key("peer_key").String(),
			PeerCA:       file.Section("tls").Key("peer_ca").String(),
		},
		Server: Server{
			DrainTimeout: file.Section("server").Key("drain_timeout").MustDuration(defaultDrainTimeout),
			ReadyGrace:   file.Section("server").Key("ready_grace").MustDuration(defaultReadyGrace),
		},
	}, nil
}
