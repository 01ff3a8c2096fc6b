"""HTTP/1.1 connections, the log and the clock, without decision logic."""
