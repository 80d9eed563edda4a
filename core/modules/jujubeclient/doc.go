// Package jujubeclient provides HTTP clients for the platform's services, for endpoints and for entry instances.
package jujubeclient
