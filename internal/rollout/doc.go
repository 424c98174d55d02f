// Package rollout rolls out the weight version of the manifest to the replicas of a service.
//
// A few agents of each service campaign for a lease in the platform's key-value service. The holder
// drives the service's rollout. Driver runs the campaign, the periodic scans of the replicas and the
// orders. Planner decides which replica loads next; it starts no goroutines and does no I/O. The
// create revision of the lease key is the fencing token of the holder's orders. Server is the
// agent's side: it passes only the current holder's orders to the backend server, as decided by its
// FenceChecker.
//
// The bound on concurrent loads holds across holders: a replica whose state is unknown to the holder
// counts as loading until its load must have ended.
package rollout
