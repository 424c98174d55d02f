// Package restart holds the system test of planned stops. Every agent and entry of a deployment is restarted in turn,
// under load.
package restart
