// Package deploy holds the manifests and settings of deployments; its tests check them.
package deploy
