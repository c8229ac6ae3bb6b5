/** Version rollouts: how much traffic a new version receives, and the decision whether it replaces the old one. */
package org.lovagethread.gateway.rollout;
