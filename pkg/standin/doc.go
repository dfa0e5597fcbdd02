// Package standin holds small stand-ins for the platform, engines and plain
// services, with controls that make them fail. They are for tests and for the
// local command, not for production.
package standin
