// Package rollout brings the weight version of the manifest onto the replicas of a service.
//
// Of the agents of a service a few campaign for a lease in the platform's key-value service; its
// holder drives the service's rollout. Driver runs the campaign, the sweeps over replicas and the
// orders; Planner decides, without goroutines or input and output, which replica loads next. The
// create revision of the lease key is the fencing number of the holder's orders. Server is the
// agent's side: its Gate lets only the current holder's orders pass to the backend server.
//
// The bound on concurrent loads holds across holders: a replica whose state the holder does not
// know counts as loading until its load must have ended.
package rollout
